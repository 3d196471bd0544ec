package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;

/** Prints the routing decisions that an instance recorded for a request. */
@Parameters(commandDescription = "Print the routing decisions for a request")
final class ExplainCommand implements Command {
  @Parameter(names = "--operator", required = true, description = "Operator address of an instance")
  private String operator;

  @Parameter(description = "REQUEST-ID", required = true)
  private List<String> requestId;

  @Override
  public int run() {
    try (InstanceClient client = InstanceClient.of(operator)) {
      return client.callAndPrint("GET", "/explain/" + requestId.getFirst(), Map.of(), "");
    }
  }
}
