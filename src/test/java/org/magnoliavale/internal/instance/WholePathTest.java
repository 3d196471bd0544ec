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

/** Sends real requests through real instances to stand-ins, all in one process. */
@Timeout(120)
class WholePathTest {
  private static final Duration PATIENCE = Duration.ofSeconds(60);

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
            .timeout(PATIENCE)
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
            .timeout(PATIENCE)
            .header("Authorization", "Bearer " + Deployment.ADMINISTRATOR)
            .header("If-Match", Long.toString(ifMatch))
            .PUT(HttpRequest.BodyPublishers.ofString(text))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
  }

  private String get(String address, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(PATIENCE).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private static String completion(String prompt, int tokens, boolean stream) {
    return Json.text(
        Map.of("model", "menu", "prompt", prompt, "max_tokens", tokens, "stream", stream));
  }

  private static String textOf(String body) throws IOException {
    return Json.tree(body.getBytes()).path("choices").path(0).path("text").asText();
  }

  private static String streamedText(String body) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String line : body.split("\n")) {
      if (line.startsWith("data: {")) {
        text.append(textOf(line.substring("data: ".length())));
      }
    }
    return text.toString();
  }

  private void start(int engines, int tokensPerSecond, int instances)
      throws IOException, InterruptedException {
    deployment =
        new Deployment()
            .withEngines(engines, tokensPerSecond)
            .withDesk()
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
  void servesEveryKindOfRequest() throws IOException, InterruptedException {
    start(2, 2_000, 2);
    String caller = deployment.caller(1);
    HttpResponse<String> whole = post(caller, "/v1/completions", completion("a", 5, false));
    assertThat(textOf(whole.body())).isEqualTo(StandInTokens.completion("a", 5));
    HttpResponse<String> stream = post(caller, "/v1/completions", completion("b", 5, true));
    assertThat(streamedText(stream.body())).isEqualTo(StandInTokens.completion("b", 5));
    assertThat(stream.body()).endsWith("data: [DONE]\n\n");
    assertThat(
            post(caller, "/services/ordering/orders", "{\"order\":\"x\"}", "Idempotency-Key", "x")
                .statusCode())
        .isEqualTo(201);
    assertThat(deployment.runs()).containsExactly(Map.entry("x", 1L));
  }

  @Test
  void orderIsRunOnceThoughItIsSentToTwoInstances() throws IOException, InterruptedException {
    start(1, 2_000, 2);
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> answer =
          post(
              deployment.caller(i),
              "/services/ordering/orders",
              "{\"order\":\"x\"}",
              "Idempotency-Key",
              "x");
      assertThat(answer.statusCode()).isEqualTo(201);
    }
    assertThat(deployment.runs()).containsExactly(Map.entry("x", 1L));
  }

  @Test
  void orderWhoseAnswerIsLostIsUnknownAndNeverRunAgain() throws IOException, InterruptedException {
    start(1, 2_000, 2);
    deployment.desk(0).setFaults(new ServiceStandIn.Faults(true, false, 0));
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> answer =
          post(
              deployment.caller(i),
              "/services/ordering/orders",
              "{\"order\":\"x\"}",
              "Idempotency-Key",
              "x");
      assertThat(answer.body()).contains("order-outcome-unknown");
    }
    assertThat(deployment.runs()).containsExactly(Map.entry("x", 1L));
  }

  @Test
  void streamIsResumedWithoutATokenMissingWhenItsEndpointCrashes()
      throws IOException, InterruptedException {
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
    AtomicInteger right = new AtomicInteger();
    for (int i = 0; i < 8; i++) {
      String prompt = "stream " + i;
      callers.add(
          Thread.startVirtualThread(
              () -> {
                try {
                  HttpResponse<String> answer =
                      post(deployment.caller(0), "/v1/completions", completion(prompt, 40, true));
                  if (streamedText(answer.body()).equals(StandInTokens.completion(prompt, 40))) {
                    right.incrementAndGet();
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
    assertThat(right).hasValue(8);
  }

  @Test
  void plannedStopCutsOffNothing() throws IOException, InterruptedException {
    start(2, 1_000, 2);
    int requests = 40;
    CountDownLatch sent = new CountDownLatch(requests);
    AtomicInteger right = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      String prompt = "stop " + i;
      boolean stream = i % 2 == 0;
      callers.add(
          Thread.startVirtualThread(
              () -> {
                sent.countDown();
                try {
                  HttpResponse<String> answer =
                      post(deployment.caller(0), "/v1/completions", completion(prompt, 30, stream));
                  String text = stream ? streamedText(answer.body()) : textOf(answer.body());
                  if (text.equals(StandInTokens.completion(prompt, 30))) {
                    right.incrementAndGet();
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
    deployment.stopped(0);
    for (Thread caller : callers) {
      caller.join();
    }
    assertThat(right).hasValue(requests);
    HttpResponse<String> elsewhere =
        post(deployment.caller(1), "/v1/completions", completion("after", 3, false));
    assertThat(elsewhere.statusCode()).isEqualTo(200);
  }

  private int inProgress() throws IOException, InterruptedException {
    return Json.tree(get(deployment.operator(0), "/status").getBytes())
        .path("requestsInProgress")
        .asInt();
  }

  @Test
  void requestThatCrashesEndpointsIsStoppedOverTheWholeFleet()
      throws IOException, InterruptedException {
    start(4, 2_000, 2);
    String poison = completion(EngineStandIn.CRASH_MARKER, 3, false);
    HttpResponse<String> first = post(deployment.caller(0), "/v1/completions", poison);
    assertThat(first.body()).contains("request-crashes-endpoints");
    while (!get(deployment.operator(1), "/crashes").contains(":3")) {
      Thread.sleep(20);
    }
    HttpResponse<String> second = post(deployment.caller(1), "/v1/completions", poison);
    assertThat(second.body()).contains("request-crashes-endpoints");
    int crashes = 0;
    for (int i = 0; i < 4; i++) {
      crashes += deployment.engine(i).crashes();
    }
    assertThat(crashes).isEqualTo(3);
  }

  @Test
  void changeOfTheDocumentComesInForceEverywhere() throws IOException, InterruptedException {
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
