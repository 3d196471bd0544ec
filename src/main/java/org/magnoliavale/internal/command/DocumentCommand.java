package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.magnoliavale.internal.operator.DocumentApi;

/** Reads and changes the configuration document through the operator API of an instance. */
@Parameters(commandDescription = "Read and change the document: get, put, delete, check, history")
final class DocumentCommand implements Command {
  @Parameter(description = "get|put|delete|check|history", required = true)
  private List<String> action;

  @Parameter(names = "--operator", required = true, description = "Operator address of an instance")
  private String operator;

  @Parameter(names = "--token", description = "Token of a team or of the administrator")
  private String token = "";

  @Parameter(names = "--file", description = "File with the sections to put or check")
  private String file;

  @Parameter(names = "--section", description = "Heading of one section to get or delete")
  private String section;

  @Parameter(names = "--if-match", description = "Revision that the change is based on")
  private String ifMatch = "0";

  @Parameter(names = "--change-id", description = "Id of the change; a retry carries the same id")
  private String changeId = UUID.randomUUID().toString();

  @Override
  public int run() {
    try (InstanceClient client = InstanceClient.of(operator)) {
      return switch (action.getFirst()) {
        case "get" -> client.callAndPrint("GET", sectionPath(), headers(), "");
        case "put" -> client.callAndPrint("PUT", "/document", headers(), requireFile());
        case "delete" -> client.callAndPrint("DELETE", sectionPath(), headers(), "");
        case "check" -> client.callAndPrint("POST", "/document/check", headers(), requireFile());
        case "history" -> client.callAndPrint("GET", "/document/history", headers(), "");
        default -> usage("unknown action: " + action.getFirst());
      };
    }
  }

  private String requireFile() {
    return InputFiles.read(file == null ? "" : file);
  }

  private String sectionPath() {
    return section == null
        ? "/document"
        : "/document/sections/"
            + URLEncoder.encode(section, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private Map<String, String> headers() {
    Map<String, String> headers = new LinkedHashMap<>();
    if (!token.isEmpty()) {
      headers.put("Authorization", "Bearer " + token);
    }
    headers.put("If-Match", ifMatch);
    headers.put(DocumentApi.CHANGE_ID, changeId);
    return headers;
  }

  private static int usage(String message) {
    System.err.println("magnoliavale: " + message);
    return USAGE;
  }
}
