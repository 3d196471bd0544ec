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
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.JsonCallResult;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.standin.StandInTokens;

/** Sends one request of each kind to a running demo and checks every response. */
@Parameters(commandDescription = "Check a running demo with one request of each kind")
final class DemoCheckCommand implements Command {
  private static final long MODELS_AVAILABLE_TIMEOUT_MS = 60_000;
  private static final long PLACEMENT_POLL_INTERVAL_MS = 200;
  private static final long PROPAGATION_TIMEOUT_MS = 6_000;
  private static final long PROPAGATION_POLL_INTERVAL_MS = 20;
  private static final int TOKENS_PER_COMPLETION = 8;

  @Parameter(names = "--caller", required = true, description = "Caller addresses of instances")
  private List<String> callers;

  @Parameter(names = "--operator", required = true, description = "Operator addresses of instances")
  private List<String> operators;

  @Parameter(names = "--token", required = true, description = "Administrator's token")
  private String token;

  @Parameter(
      names = "--service",
      required = true,
      description = "Service for non-idempotent requests")
  private String service;

  private int failures;

  @Override
  public int run() throws IOException, InterruptedException {
    try (InstanceClient client = InstanceClient.of(operators.getFirst())) {
      report("every model has an endpoint", awaitModelsAvailable(client));
    }
    for (String caller : callers) {
      try (InstanceClient client = InstanceClient.of(caller)) {
        checkInstance(client, caller);
      }
    }
    checkDocument();
    System.out.println(failures == 0 ? "demo: all checks passed" : "demo: failures=" + failures);
    return failures == 0 ? SUCCESS : FAILURE;
  }

  private boolean awaitModelsAvailable(InstanceClient operatorClient)
      throws IOException, InterruptedException {
    long deadlineMs = System.currentTimeMillis() + MODELS_AVAILABLE_TIMEOUT_MS;
    while (System.currentTimeMillis() < deadlineMs) {
      JsonCallResult result = operatorClient.call("GET", "/placement", Map.of(), "");
      if (result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] body)
          && status == HttpStatus.OK_200) {
        JsonNode models = Json.tree(body).path("models");
        boolean allAvailable = models.size() > 0;
        for (JsonNode endpoints : models) {
          allAvailable &= endpoints.size() > 0;
        }
        if (allAvailable) {
          return true;
        }
      }
      Thread.sleep(PLACEMENT_POLL_INTERVAL_MS);
    }
    return false;
  }

  private void checkInstance(InstanceClient client, String caller) throws IOException {
    List<String> models = models(client);
    report(caller + " lists models", !models.isEmpty());
    if (models.isEmpty()) {
      return;
    }
    String model = models.getFirst();
    String adapter = models.stream().filter(name -> name.contains(":")).findFirst().orElse(model);
    report(caller + " answers a completion", checkCompletion(client, model));
    report(caller + " answers a completion with an adapter", checkCompletion(client, adapter));
    report(caller + " streams a completion", checkStream(client, model));
    report(
        caller + " rejects an unknown model", status(bufferedCompletion(client, "no-such")) == 404);
    checkService(client, caller);
  }

  private List<String> models(InstanceClient client) throws IOException {
    List<String> names = new ArrayList<>();
    JsonCallResult result = client.call("GET", "/v1/models", Map.of(), "");
    if (result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] body)
        && status == HttpStatus.OK_200) {
      Json.tree(body).path("data").forEach(model -> names.add(model.path("id").asText()));
    }
    return names;
  }

  private static JsonCallResult bufferedCompletion(InstanceClient client, String model) {
    return completion(client, model, "whole " + model, false);
  }

  private static JsonCallResult completion(
      InstanceClient client, String model, String prompt, boolean stream) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", model);
    body.put("prompt", prompt);
    body.put("max_tokens", TOKENS_PER_COMPLETION);
    body.put("stream", stream);
    return client.call("POST", "/v1/completions", Map.of(), Json.text(body));
  }

  private boolean checkCompletion(InstanceClient client, String model) throws IOException {
    JsonCallResult result = bufferedCompletion(client, model);
    return result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] body)
        && status == HttpStatus.OK_200
        && Json.tree(body)
            .path("choices")
            .path(0)
            .path("text")
            .asText()
            .equals(StandInTokens.completion("whole " + model, TOKENS_PER_COMPLETION));
  }

  private boolean checkStream(InstanceClient client, String model) throws IOException {
    JsonCallResult result = completion(client, model, "stream", true);
    if (!(result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] body))
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
    return ended
        && text.toString().equals(StandInTokens.completion("stream", TOKENS_PER_COMPLETION));
  }

  private void checkService(InstanceClient client, String caller) {
    String id = UUID.randomUUID().toString();
    String body = Json.text(Map.of("order", id));
    String path = "/services/" + service + "/orders";
    Map<String, String> key = Map.of(HeaderNames.IDEMPOTENCY_KEY, id);
    report(
        caller + " accepts a non-idempotent request",
        status(client.call("POST", path, key, body)) == 201);
    report(
        caller + " rejects a non-idempotent request without a key",
        status(client.call("POST", path, Map.of(), body)) == 400);
    String idempotentPath = "/services/" + service + "/route-sheets";
    report(
        caller + " answers an idempotent request",
        status(client.call("GET", idempotentPath, Map.of(), "")) == HttpStatus.OK_200);
  }

  /** Changes the document through one instance and waits until the change is active on all. */
  private void checkDocument() throws IOException, InterruptedException {
    String section = "[data-centre demo-check]\nowner = " + owner() + "\nregion = check\n";
    Map<String, String> headers =
        Map.of("Authorization", "Bearer " + token, "If-Match", Long.toString(version(0)));
    try (InstanceClient client = InstanceClient.of(operators.getFirst())) {
      JsonCallResult put = client.call("PUT", "/document", headers, section);
      report("a document change is accepted", status(put) == HttpStatus.OK_200);
      JsonCallResult stale = client.call("PUT", "/document", headers, section);
      report("a change based on an old revision is rejected", status(stale) == 412);
    }
    long startMs = System.currentTimeMillis();
    long expectedVersion = version(0);
    boolean activeOnAll = true;
    for (int index = 0; index < operators.size(); index++) {
      while (version(index) < expectedVersion
          && System.currentTimeMillis() - startMs < PROPAGATION_TIMEOUT_MS) {
        Thread.sleep(PROPAGATION_POLL_INTERVAL_MS);
      }
      activeOnAll &= version(index) >= expectedVersion;
    }
    System.out.println(
        "change active on every instance after ms=" + (System.currentTimeMillis() - startMs));
    report("the change is active on every instance within 6 s", activeOnAll);
  }

  private String owner() throws IOException {
    try (InstanceClient client = InstanceClient.of(operators.getFirst())) {
      JsonCallResult result = client.call("GET", "/document", Map.of(), "");
      String text =
          result instanceof JsonCallResult.Response(int ignored, var ignoredHeaders, byte[] body)
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
    try (InstanceClient client = InstanceClient.of(operators.get(index))) {
      JsonCallResult result = client.call("GET", "/status", Map.of(), "");
      return result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] body)
              && status == HttpStatus.OK_200
          ? Json.tree(body).path("documentVersion").asLong()
          : 0;
    }
  }

  private static int status(JsonCallResult result) {
    return result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] ignored)
        ? status
        : 0;
  }

  private void report(String check, boolean passed) {
    System.out.println((passed ? "passed: " : "FAILED: ") + check);
    if (!passed) {
      failures++;
    }
  }
}
