package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;

/** Prints why an instance sent a request where it did. */
@Parameters(commandDescription = "Print why a request went where it went")
final class ExplainCommand implements Command {
  @Parameter(names = "--operator", required = true, description = "Operator address of an instance")
  private String operator;

  @Parameter(description = "REQUEST-ID", required = true)
  private List<String> requestId;

  @Override
  public int run() {
    try (OperatorConnection connection = OperatorConnection.to(operator)) {
      return connection.callAndPrint("GET", "/explain/" + requestId.getFirst(), Map.of(), "");
    }
  }
}
