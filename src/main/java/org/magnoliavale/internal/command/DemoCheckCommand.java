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
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.internal.http.EngineHeaders;
import org.magnoliavale.internal.http.JsonAnswer;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.standin.StandInTokens;

/** Sends one request of each kind through a running demo and checks every outcome. */
@Parameters(commandDescription = "Check a running demo with real requests of each kind")
final class DemoCheckCommand implements Command {
  private static final long REACHABLE_TIMEOUT_MS = 60_000;
  private static final long POLL_MS = 200;
  private static final long IN_FORCE_TIMEOUT_MS = 6_000;
  private static final long IN_FORCE_POLL_MS = 20;
  private static final int TOKENS = 8;

  @Parameter(names = "--caller", required = true, description = "Caller addresses of instances")
  private List<String> callers;

  @Parameter(names = "--operator", required = true, description = "Operator addresses of instances")
  private List<String> operators;

  @Parameter(names = "--token", required = true, description = "Administrator's token")
  private String token;

  @Parameter(names = "--service", required = true, description = "Ordering service of the demo")
  private String service;

  private int failures;

  @Override
  public int run() throws IOException, InterruptedException {
    try (OperatorConnection connection = OperatorConnection.to(operators.getFirst())) {
      report("every model is reachable", awaitModels(connection));
    }
    for (String caller : callers) {
      try (OperatorConnection connection = OperatorConnection.to(caller)) {
        checkInstance(connection, caller);
      }
    }
    checkDocument();
    System.out.println(failures == 0 ? "demo: all right" : "demo: failures=" + failures);
    return failures == 0 ? SUCCESS : FAILURE;
  }

  private boolean awaitModels(OperatorConnection operators)
      throws IOException, InterruptedException {
    long end = System.currentTimeMillis() + REACHABLE_TIMEOUT_MS;
    while (System.currentTimeMillis() < end) {
      JsonAnswer answer = operators.call("GET", "/placement", Map.of(), "");
      if (answer instanceof JsonAnswer.Answered(int status, byte[] body)
          && status == HttpStatus.OK_200) {
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
    if (answer instanceof JsonAnswer.Answered(int status, byte[] body)
        && status == HttpStatus.OK_200) {
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
        && status == HttpStatus.OK_200
        && Json.tree(body)
            .path("choices")
            .path(0)
            .path("text")
            .asText()
            .equals(StandInTokens.completion("whole " + model, TOKENS));
  }

  private boolean checkStream(OperatorConnection connection, String model) throws IOException {
    JsonAnswer answer = completion(connection, model, "stream", true);
    if (!(answer instanceof JsonAnswer.Answered(int status, byte[] body))
        || status != HttpStatus.OK_200) {
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
    return ended && text.toString().equals(StandInTokens.completion("stream", TOKENS));
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
        caller + " shows route sheets",
        status(connection.call("GET", sheets, Map.of(), "")) == HttpStatus.OK_200);
  }

  /** Changes the document at one instance and waits for it at all of them. */
  private void checkDocument() throws IOException, InterruptedException {
    String section = "[data-centre demo-check]\nowner = " + owner() + "\nregion = check\n";
    Map<String, String> headers =
        Map.of("Authorization", "Bearer " + token, "If-Match", Long.toString(version(0)));
    try (OperatorConnection connection = OperatorConnection.to(operators.getFirst())) {
      JsonAnswer put = connection.call("PUT", "/document", headers, section);
      report("a document change is accepted", status(put) == HttpStatus.OK_200);
      JsonAnswer late = connection.call("PUT", "/document", headers, section);
      report("a change on top of an old revision is refused", status(late) == 412);
    }
    long sentAt = System.currentTimeMillis();
    long wanted = version(0);
    boolean everywhere = true;
    for (int index = 0; index < operators.size(); index++) {
      while (version(index) < wanted && System.currentTimeMillis() - sentAt < IN_FORCE_TIMEOUT_MS) {
        Thread.sleep(IN_FORCE_POLL_MS);
      }
      everywhere &= version(index) >= wanted;
    }
    System.out.println("in force everywhere after ms=" + (System.currentTimeMillis() - sentAt));
    report("the change is in force on every instance within 6 s", everywhere);
  }

  private String owner() throws IOException {
    try (OperatorConnection connection = OperatorConnection.to(operators.getFirst())) {
      JsonAnswer answer = connection.call("GET", "/document", Map.of(), "");
      String text =
          answer instanceof JsonAnswer.Answered(int ignored, byte[] body)
              ? new String(body, StandardCharsets.UTF_8)
              : "";
      return text.lines()
          .filter(line -> line.startsWith("owner = "))
          .findFirst()
          .orElse("owner = none")
          .substring("owner = ".length());
    }
  }

  private long version(int index) throws IOException {
    try (OperatorConnection connection = OperatorConnection.to(operators.get(index))) {
      JsonAnswer answer = connection.call("GET", "/status", Map.of(), "");
      return answer instanceof JsonAnswer.Answered(int status, byte[] body)
              && status == HttpStatus.OK_200
          ? Json.tree(body).path("documentVersion").asLong()
          : 0;
    }
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
