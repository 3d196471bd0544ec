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

/** Sends open-loop load through a running demo, checks every answer and prints a report. */
@Parameters(commandDescription = "Send open-loop load, check every answer, print a report")
final class LoadCommand implements Command {
  @Parameter(names = "--caller", required = true, description = "Caller addresses of instances")
  private List<String> callers;

  @Parameter(names = "--rate", description = "Requests a second")
  private double rate = 20;

  @Parameter(names = "--seconds", description = "How long requests are started")
  private int seconds = 10;

  @Parameter(names = "--deadline-ms", description = "Time by which an answer is in time")
  private int deadlineMs = 5_000;

  @Parameter(names = "--tokens", description = "Tokens of a completion")
  private int tokens = 64;

  @Parameter(names = "--streams", description = "Share of completions that are streamed")
  private double streams = 0.5;

  @Parameter(names = "--orders", description = "Share of requests that are orders")
  private double orders;

  @Parameter(names = "--service", description = "Service that takes the orders")
  private String service = "";

  @Parameter(names = "--desk", description = "Address of a stand-in that counts the orders")
  private String desk = "";

  @Parameter(names = "--burst", description = "Factor of the rate in the middle third")
  private double burst = 1;

  @Parameter(names = "--seed", description = "Seed of arrivals and mixes")
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
            streams,
            orders,
            service,
            burst,
            seed);
    LoadRun run = new LoadRun(plan, models());
    String report = run.execute();
    System.out.print(report);
    boolean right = report.contains("\nwrong 0\n") && ordersAreRight(run);
    return right ? SUCCESS : FAILURE;
  }

  private List<String> models() throws IOException {
    List<String> names = new ArrayList<>();
    try (OperatorConnection connection = OperatorConnection.to(callers.getFirst())) {
      JsonCallResult answer = connection.call("GET", "/v1/models", Map.of(), "");
      if (answer instanceof JsonCallResult.Response(int ignored, byte[] body)) {
        Json.tree(body).path("data").forEach(model -> names.add(model.path("id").asText()));
      }
    }
    if (names.isEmpty()) {
      throw MagnoliavaleException.of(
          ErrorCode.NOT_FOUND, "no models at " + callers.getFirst() + "; is it running?");
    }
    return names;
  }

  /** Compares what callers were told with what the ordering service ran. */
  private boolean ordersAreRight(LoadRun run) throws IOException {
    if (desk.isEmpty()) {
      return true;
    }
    try (OperatorConnection connection = OperatorConnection.to(desk)) {
      JsonCallResult answer = connection.call("GET", "/stand-in/runs", Map.of(), "");
      JsonNode runs =
          answer instanceof JsonCallResult.Response(int ignored, byte[] body)
              ? Json.tree(body)
              : Json.MAPPER.createObjectNode();
      int twice = 0;
      for (JsonNode count : runs) {
        twice += count.asInt() > 1 ? 1 : 0;
      }
      long lost = run.completeOrders().stream().filter(order -> !runs.has(order)).count();
      long falseNotRun = run.ordersNotRun().stream().filter(runs::has).count();
      System.out.printf(
          "orders-run-twice %d%norders-complete-but-not-run %d%norders-false-not-run %d%n",
          twice, lost, falseNotRun);
      return twice == 0 && lost == 0 && falseNotRun == 0;
    }
  }
}
