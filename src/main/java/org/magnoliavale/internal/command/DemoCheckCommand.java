package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.magnoliavale.internal.http.EngineHeaders;
import org.magnoliavale.internal.http.JsonAnswer;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.standin.StandInTokens;

/** Sends one request of each kind through a running demo and checks every outcome. */
@Parameters(commandDescription = "Check a running demo with real requests of each kind")
final class DemoCheckCommand implements Command {
  private static final long REACHABLE_TIMEOUT_MS = 60_000;
  private static final long POLL_MS = 200;
  private static final int TOKENS = 8;
  private static final int OK = 200;

  @Parameter(names = "--caller", required = true, description = "Caller addresses of instances")
  private List<String> callers = new ArrayList<>();

  @Parameter(names = "--operator", required = true, description = "Operator address of an instance")
  private String operator;

  @Parameter(names = "--service", required = true, description = "Ordering service of the demo")
  private String service;

  private int failures;

  @Override
  public int run() throws IOException, InterruptedException {
    try (OperatorConnection operators = OperatorConnection.to(operator)) {
      report("every model is reachable", awaitModels(operators));
    }
    for (String caller : callers) {
      try (OperatorConnection connection = OperatorConnection.to(caller)) {
        checkInstance(connection, caller);
      }
    }
    System.out.println(failures == 0 ? "demo: all right" : "demo: failures=" + failures);
    return failures == 0 ? SUCCESS : FAILURE;
  }

  private boolean awaitModels(OperatorConnection operators)
      throws IOException, InterruptedException {
    long end = System.currentTimeMillis() + REACHABLE_TIMEOUT_MS;
    while (System.currentTimeMillis() < end) {
      JsonAnswer answer = operators.call("GET", "/placement", Map.of(), "");
      if (answer instanceof JsonAnswer.Answered(int status, byte[] body) && status == OK) {
        JsonNode models = Json.tree(body).path("models");
        boolean all = models.size() > 0;
        for (JsonNode endpoints : models) {
          all &= endpoints.size() > 0;
        }
        if (all) {
          return true;
        }
      }
      Thread.sleep(POLL_MS);
    }
    return false;
  }

  private void checkInstance(OperatorConnection connection, String caller) throws IOException {
    List<String> models = models(connection);
    report(caller + " lists models", !models.isEmpty());
    if (models.isEmpty()) {
      return;
    }
    String model = models.getFirst();
    String adapter = models.stream().filter(name -> name.contains(":")).findFirst().orElse(model);
    report(caller + " answers whole", checkWhole(connection, model));
    report(caller + " answers with an adapter", checkWhole(connection, adapter));
    report(caller + " streams", checkStream(connection, model));
    report(caller + " refuses an unknown model", status(whole(connection, "no-such")) == 404);
    checkOrders(connection, caller);
  }

  private List<String> models(OperatorConnection connection) throws IOException {
    List<String> names = new ArrayList<>();
    JsonAnswer answer = connection.call("GET", "/v1/models", Map.of(), "");
    if (answer instanceof JsonAnswer.Answered(int status, byte[] body) && status == OK) {
      Json.tree(body).path("data").forEach(model -> names.add(model.path("id").asText()));
    }
    return names;
  }

  private static JsonAnswer whole(OperatorConnection connection, String model) {
    return completion(connection, model, "whole " + model, false);
  }

  private static JsonAnswer completion(
      OperatorConnection connection, String model, String prompt, boolean stream) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", model);
    body.put("prompt", prompt);
    body.put("max_tokens", TOKENS);
    body.put("stream", stream);
    return connection.call("POST", "/v1/completions", Map.of(), Json.text(body));
  }

  private boolean checkWhole(OperatorConnection connection, String model) throws IOException {
    JsonAnswer answer = whole(connection, model);
    return answer instanceof JsonAnswer.Answered(int status, byte[] body)
        && status == OK
        && Json.tree(body)
            .path("choices")
            .path(0)
            .path("text")
            .asText()
            .equals(StandInTokens.answer("whole " + model, TOKENS));
  }

  private boolean checkStream(OperatorConnection connection, String model) throws IOException {
    JsonAnswer answer = completion(connection, model, "stream", true);
    if (!(answer instanceof JsonAnswer.Answered(int status, byte[] body)) || status != OK) {
      return false;
    }
    StringBuilder text = new StringBuilder();
    boolean ended = false;
    for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
      if (line.equals("data: [DONE]")) {
        ended = true;
      } else if (line.startsWith("data: ")) {
        byte[] data = line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8);
        text.append(Json.tree(data).path("choices").path(0).path("text").asText());
      }
    }
    return ended && text.toString().equals(StandInTokens.answer("stream", TOKENS));
  }

  private void checkOrders(OperatorConnection connection, String caller) {
    String order = UUID.randomUUID().toString();
    String body = Json.text(Map.of("order", order));
    String path = "/services/" + service + "/orders";
    Map<String, String> key = Map.of(EngineHeaders.IDEMPOTENCY_KEY, order);
    report(caller + " places an order", status(connection.call("POST", path, key, body)) == 201);
    report(
        caller + " refuses an order without a key",
        status(connection.call("POST", path, Map.of(), body)) == 400);
    String sheets = "/services/" + service + "/route-sheets";
    report(
        caller + " shows route sheets", status(connection.call("GET", sheets, Map.of(), "")) == OK);
  }

  private static int status(JsonAnswer answer) {
    return answer instanceof JsonAnswer.Answered(int status, byte[] ignored) ? status : 0;
  }

  private void report(String check, boolean right) {
    System.out.println((right ? "right: " : "WRONG: ") + check);
    if (!right) {
      failures++;
    }
  }
}
