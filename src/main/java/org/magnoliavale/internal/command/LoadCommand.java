package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.JsonCallResult;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.load.LoadPlan;
import org.magnoliavale.internal.load.LoadRun;

/** Sends open-loop load to a running demo, checks every response and prints a report. */
@Parameters(commandDescription = "Send open-loop load, check every response, print a report")
final class LoadCommand implements Command {
  @Parameter(names = "--caller", required = true, description = "Caller addresses of instances")
  private List<String> callers;

  @Parameter(names = "--rate", description = "Mean arrival rate, in requests per second")
  private double rate = 20;

  @Parameter(
      names = "--seconds",
      description = "Time during which requests are started, in seconds")
  private int seconds = 10;

  @Parameter(names = "--deadline-ms", description = "Deadline of each request, in milliseconds")
  private int deadlineMs = 5_000;

  @Parameter(names = "--tokens", description = "Tokens requested per completion")
  private int tokens = 64;

  @Parameter(names = "--streams", description = "Share of completions that are streamed")
  private double streamShare = 0.5;

  @Parameter(names = "--orders", description = "Share of requests that are non-idempotent")
  private double nonIdempotentShare;

  @Parameter(names = "--service", description = "Service that receives the non-idempotent requests")
  private String service = "";

  @Parameter(
      names = "--desk",
      description = "Address of a stand-in that counts executions of each request")
  private String executionCounterAddress = "";

  @Parameter(names = "--burst", description = "Factor on the rate in the middle third of the run")
  private double burstFactor = 1;

  @Parameter(names = "--seed", description = "Seed of the arrival times and the request mix")
  private long seed = 1;

  @Override
  public int run() throws IOException {
    LoadPlan plan =
        new LoadPlan(
            callers,
            rate,
            Duration.ofSeconds(seconds),
            Duration.ofMillis(deadlineMs),
            tokens,
            streamShare,
            nonIdempotentShare,
            service,
            burstFactor,
            seed);
    LoadRun run = new LoadRun(plan, models());
    String report = run.execute();
    System.out.print(report);
    boolean passed = report.contains("\nwrong 0\n") && verifyExecutionCounts(run);
    return passed ? SUCCESS : FAILURE;
  }

  private List<String> models() throws IOException {
    List<String> names = new ArrayList<>();
    try (InstanceClient client = InstanceClient.of(callers.getFirst())) {
      JsonCallResult result = client.call("GET", "/v1/models", Map.of(), "");
      if (result instanceof JsonCallResult.Response(int ignored, var ignoredHeaders, byte[] body)) {
        Json.tree(body).path("data").forEach(model -> names.add(model.path("id").asText()));
      }
    }
    if (names.isEmpty()) {
      throw MagnoliavaleException.of(
          ErrorCode.NOT_FOUND,
          "no models listed at " + callers.getFirst() + "; is the instance running?");
    }
    return names;
  }

  /** Compares the outcomes reported to callers with the executions counted by the service. */
  private boolean verifyExecutionCounts(LoadRun run) throws IOException {
    if (executionCounterAddress.isEmpty()) {
      return true;
    }
    try (InstanceClient client = InstanceClient.of(executionCounterAddress)) {
      JsonCallResult result = client.call("GET", "/stand-in/runs", Map.of(), "");
      JsonNode runs =
          result instanceof JsonCallResult.Response(int ignored, var ignoredHeaders, byte[] body)
              ? Json.tree(body)
              : Json.MAPPER.createObjectNode();
      int duplicateExecutions = 0;
      for (JsonNode count : runs) {
        duplicateExecutions += count.asInt() > 1 ? 1 : 0;
      }
      long missingExecutions =
          run.reportedExecutedKeys().stream().filter(key -> !runs.has(key)).count();
      long unexpectedExecutions = run.reportedNotExecutedKeys().stream().filter(runs::has).count();
      System.out.printf(
          "orders-run-twice %d%norders-complete-but-not-run %d%norders-false-not-run %d%n",
          duplicateExecutions, missingExecutions, unexpectedExecutions);
      return duplicateExecutions == 0 && missingExecutions == 0 && unexpectedExecutions == 0;
    }
  }
}
