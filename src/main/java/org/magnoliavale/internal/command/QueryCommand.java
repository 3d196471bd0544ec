package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;

/** Prints the current state of an instance as JSON. */
@Parameters(commandDescription = "Print the current state of an instance")
final class QueryCommand implements Command {
  @Parameter(names = "--operator", required = true, description = "Operator address of an instance")
  private String operator;

  private final String path;

  QueryCommand(String path) {
    this.path = path;
  }

  @Override
  public int run() {
    try (InstanceClient client = InstanceClient.of(operator)) {
      return client.callAndPrint("GET", path, Map.of(), "");
    }
  }
}
