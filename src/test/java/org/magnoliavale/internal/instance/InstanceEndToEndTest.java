package org.magnoliavale.internal.instance;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.standin.EngineStandIn;
import org.magnoliavale.internal.standin.ServiceStandIn;
import org.magnoliavale.internal.standin.StandInTokens;

/** Sends HTTP requests through complete instances to stand-in endpoints, all in one process. */
@Timeout(120)
class InstanceEndToEndTest {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

  private final HttpClient client = HttpClient.newHttpClient();
  private Deployment deployment;

  @AfterEach
  void stop() {
    deployment.close();
    client.close();
  }

  private HttpResponse<String> post(String address, String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(REQUEST_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private int put(String operator, String text, long ifMatch)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + operator + "/document"))
            .timeout(REQUEST_TIMEOUT)
            .header("Authorization", "Bearer " + Deployment.ADMINISTRATOR)
            .header("If-Match", Long.toString(ifMatch))
            .PUT(HttpRequest.BodyPublishers.ofString(text))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
  }

  private String get(String address, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(REQUEST_TIMEOUT)
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private static String completionRequest(String prompt, int tokens, boolean stream) {
    return Json.text(
        Map.of("model", "menu", "prompt", prompt, "max_tokens", tokens, "stream", stream));
  }

  private static String completionText(String body) throws IOException {
    return Json.tree(body.getBytes()).path("choices").path(0).path("text").asText();
  }

  private static String streamedText(String body) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String line : body.split("\n")) {
      if (line.startsWith("data: {")) {
        text.append(completionText(line.substring("data: ".length())));
      }
    }
    return text.toString();
  }

  private void start(int engines, int tokensPerSecond, int instances)
      throws IOException, InterruptedException {
    deployment =
        new Deployment()
            .withEngines(engines, tokensPerSecond)
            .withServiceEndpoint()
            .withModel("menu", "minimum-replicas = " + engines + "\n")
            .start(instances);
    assertThat(put(deployment.operator(0), deployment.document(), 0)).isEqualTo(200);
    for (int i = 0; i < instances; i++) {
      awaitReplicas(deployment.operator(i), engines);
    }
  }

  private void awaitReplicas(String operator, int count) throws IOException, InterruptedException {
    while (Json.tree(get(operator, "/placement").getBytes()).path("models").path("menu").size()
        < count) {
      Thread.sleep(20);
    }
  }

  @Test
  void servesCompletionsStreamsAndServiceRequests() throws IOException, InterruptedException {
    start(2, 2_000, 2);
    String caller = deployment.caller(1);
    HttpResponse<String> nonStreaming =
        post(caller, "/v1/completions", completionRequest("a", 5, false));
    assertThat(completionText(nonStreaming.body())).isEqualTo(StandInTokens.completion("a", 5));
    HttpResponse<String> stream = post(caller, "/v1/completions", completionRequest("b", 5, true));
    assertThat(streamedText(stream.body())).isEqualTo(StandInTokens.completion("b", 5));
    assertThat(stream.body()).endsWith("data: [DONE]\n\n");
    assertThat(
            post(caller, "/services/ordering/orders", "{\"order\":\"x\"}", "Idempotency-Key", "x")
                .statusCode())
        .isEqualTo(201);
    assertThat(deployment.runs()).containsExactly(Map.entry("x", 1L));
  }

  @Test
  void requestSentToTwoInstancesRunsOnce() throws IOException, InterruptedException {
    start(1, 2_000, 2);
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> response =
          post(
              deployment.caller(i),
              "/services/ordering/orders",
              "{\"order\":\"x\"}",
              "Idempotency-Key",
              "x");
      assertThat(response.statusCode()).isEqualTo(201);
    }
    assertThat(deployment.runs()).containsExactly(Map.entry("x", 1L));
  }

  @Test
  void lostResponseReportsUnknownOutcomeWithoutRerun() throws IOException, InterruptedException {
    start(1, 2_000, 2);
    deployment.serviceStandIn(0).setFaults(new ServiceStandIn.Faults(true, false, 0));
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> response =
          post(
              deployment.caller(i),
              "/services/ordering/orders",
              "{\"order\":\"x\"}",
              "Idempotency-Key",
              "x");
      assertThat(response.body()).contains("order-outcome-unknown");
    }
    assertThat(deployment.runs()).containsExactly(Map.entry("x", 1L));
  }

  @Test
  void endpointCrashResumesStreamsWithoutTokenLoss() throws IOException, InterruptedException {
    start(2, 640, 1);
    AtomicBoolean crashed = new AtomicBoolean();
    Thread crash =
        Thread.startVirtualThread(
            () -> {
              try {
                Thread.sleep(400);
                deployment.engine(0).crash();
                crashed.set(true);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    List<Thread> callers = new ArrayList<>();
    AtomicInteger correct = new AtomicInteger();
    for (int i = 0; i < 8; i++) {
      String prompt = "stream " + i;
      callers.add(
          Thread.startVirtualThread(
              () -> {
                try {
                  HttpResponse<String> response =
                      post(
                          deployment.caller(0),
                          "/v1/completions",
                          completionRequest(prompt, 40, true));
                  if (streamedText(response.body()).equals(StandInTokens.completion(prompt, 40))) {
                    correct.incrementAndGet();
                  }
                } catch (IOException | InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }));
    }
    for (Thread caller : callers) {
      caller.join();
    }
    crash.join();
    assertThat(crashed).isTrue();
    assertThat(correct).hasValue(8);
  }

  @Test
  void gracefulStopCompletesAllRequests() throws IOException, InterruptedException {
    start(2, 1_000, 2);
    int requests = 40;
    CountDownLatch sent = new CountDownLatch(requests);
    AtomicInteger correct = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      String prompt = "stop " + i;
      boolean stream = i % 2 == 0;
      callers.add(
          Thread.startVirtualThread(
              () -> {
                sent.countDown();
                try {
                  HttpResponse<String> response =
                      post(
                          deployment.caller(0),
                          "/v1/completions",
                          completionRequest(prompt, 30, stream));
                  String text =
                      stream ? streamedText(response.body()) : completionText(response.body());
                  if (text.equals(StandInTokens.completion(prompt, 30))) {
                    correct.incrementAndGet();
                  }
                } catch (IOException | InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }));
    }
    sent.await();
    while (inProgress() < requests) {
      Thread.sleep(5);
    }
    deployment.instance(0).stop();
    deployment.markStopped(0);
    for (Thread caller : callers) {
      caller.join();
    }
    assertThat(correct).hasValue(requests);
    HttpResponse<String> otherInstance =
        post(deployment.caller(1), "/v1/completions", completionRequest("after", 3, false));
    assertThat(otherInstance.statusCode()).isEqualTo(200);
  }

  private int inProgress() throws IOException, InterruptedException {
    return Json.tree(get(deployment.operator(0), "/status").getBytes())
        .path("requestsInProgress")
        .asInt();
  }

  @Test
  void requestThatCrashesEndpointsIsRejectedFleetWide() throws IOException, InterruptedException {
    start(4, 2_000, 2);
    String crashingRequest = completionRequest(EngineStandIn.CRASH_MARKER, 3, false);
    HttpResponse<String> first = post(deployment.caller(0), "/v1/completions", crashingRequest);
    assertThat(first.body()).contains("request-crashes-endpoints");
    while (!get(deployment.operator(1), "/crashes").contains(":3")) {
      Thread.sleep(20);
    }
    HttpResponse<String> second = post(deployment.caller(1), "/v1/completions", crashingRequest);
    assertThat(second.body()).contains("request-crashes-endpoints");
    int crashes = 0;
    for (int i = 0; i < 4; i++) {
      crashes += deployment.engine(i).crashes();
    }
    assertThat(crashes).isEqualTo(3);
  }

  @Test
  void documentChangeReachesAllInstances() throws IOException, InterruptedException {
    start(1, 2_000, 3);
    assertThat(put(deployment.operator(0), TestDocuments.model("second", 1), 1)).isEqualTo(200);
    for (int i = 0; i < 3; i++) {
      while (!get(deployment.operator(i), "/status").contains("\"documentVersion\":2")) {
        Thread.sleep(20);
      }
    }
    assertThat(put(deployment.operator(1), TestDocuments.model("second", 2), 1)).isEqualTo(412);
  }
}
