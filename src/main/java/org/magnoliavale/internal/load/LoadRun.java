package org.magnoliavale.internal.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.standin.StandInTokens;

/**
 * One open-loop load run: requests start at their scheduled times, however many are in progress.
 *
 * <p>A run is executed once. Each request runs on its own virtual thread; {@link #execute} returns
 * after the last one has ended.
 */
public final class LoadRun {
  private static final int MAXIMUM_CONNECTIONS = 4_096;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final LoadPlan plan;
  private final List<String> models;
  private final LoadReport report = new LoadReport();
  private final RandomGenerator random;
  private final HttpClient client =
      HttpClients.create("load", MAXIMUM_CONNECTIONS, CONNECT_TIMEOUT, IDLE_TIMEOUT);
  private final Set<String> reportedExecutedKeys = ConcurrentHashMap.newKeySet();
  private final Set<String> reportedNotExecutedKeys = ConcurrentHashMap.newKeySet();

  /** Creates a run over {@code models}, in descending order of popularity. */
  public LoadRun(LoadPlan plan, List<String> models) {
    this.plan = plan;
    this.models = List.copyOf(models);
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed());
  }

  /** Executes the run, waits for all requests and returns the report. */
  public String execute() {
    HttpClients.start(client);
    Phaser inProgress = new Phaser(1);
    long start = System.nanoTime();
    long end = start + plan.duration().toNanos();
    long scheduledNanos = start;
    int index = 0;
    while (scheduledNanos < end) {
      sleepUntil(scheduledNanos);
      startRequest(index, scheduledNanos, inProgress);
      index++;
      double rate = plan.rateAt((scheduledNanos - start) / NANOSECONDS_PER_SECOND);
      scheduledNanos += (long) (-Math.log(1 - random.nextDouble()) / rate * NANOSECONDS_PER_SECOND);
    }
    inProgress.arriveAndAwaitAdvance();
    HttpClients.stop(client);
    return report.text();
  }

  /** Returns the keys of the non-idempotent requests that were reported as executed. */
  public Set<String> reportedExecutedKeys() {
    return Set.copyOf(reportedExecutedKeys);
  }

  /** Returns the keys of the non-idempotent requests that were reported as not executed. */
  public Set<String> reportedNotExecutedKeys() {
    return Set.copyOf(reportedNotExecutedKeys);
  }

  private void startRequest(int index, long scheduledNanos, Phaser inProgress) {
    String caller = plan.callers().get(index % plan.callers().size());
    boolean nonIdempotent =
        !plan.service().isEmpty() && random.nextDouble() < plan.nonIdempotentShare();
    boolean stream = random.nextDouble() < plan.streamShare();
    String model = models.get(drawModelIndex());
    String prompt = "request " + plan.seed() + "-" + index;
    inProgress.register();
    Thread.startVirtualThread(
        () -> {
          try {
            Outcome outcome =
                nonIdempotent
                    ? sendNonIdempotent(caller, prompt)
                    : stream
                        ? sendStreamed(caller, model, prompt, scheduledNanos)
                        : sendBuffered(caller, model, prompt, scheduledNanos);
            report.add(outcome, (System.nanoTime() - scheduledNanos) / 1_000);
          } finally {
            inProgress.arriveAndDeregister();
          }
        });
  }

  /** Draws a model index; the probability of rank n is about proportional to 1/n (Zipf). */
  private int drawModelIndex() {
    double draw = Math.pow(models.size() + 1, random.nextDouble()) - 1;
    return Math.min((int) draw, models.size() - 1);
  }

  private Request completionRequest(String caller, String model, String prompt, boolean stream) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", model);
    body.put("prompt", prompt);
    body.put("max_tokens", plan.tokens());
    body.put("stream", stream);
    return client
        .POST("http://" + caller + "/v1/completions")
        .headers(fields -> fields.put(HeaderNames.TIMEOUT, plan.deadline().toMillis()))
        .timeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
        .idleTimeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
        .body(new BytesRequestContent("application/json", Json.bytes(body)));
  }

  private Outcome sendBuffered(String caller, String model, String prompt, long scheduledNanos) {
    try {
      ContentResponse response = completionRequest(caller, model, prompt, false).send();
      if (response.getStatus() != HttpStatus.OK_200) {
        return recordRejection(response);
      }
      String text = Json.tree(response.getContent()).path("choices").path(0).path("text").asText();
      return classify(text, prompt, scheduledNanos);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      return Outcome.NO_ANSWER;
    } catch (IOException e) {
      return Outcome.WRONG;
    }
  }

  private Outcome classify(String text, String prompt, long scheduledNanos) {
    if (!text.equals(StandInTokens.completion(prompt, plan.tokens()))) {
      return Outcome.WRONG;
    }
    boolean inTime = System.nanoTime() - scheduledNanos <= plan.deadline().toNanos();
    return inTime ? Outcome.IN_TIME : Outcome.LATE;
  }

  private Outcome recordRejection(ContentResponse response) {
    try {
      report.addRejection(Json.tree(response.getContent()).path("code").asText("none"));
    } catch (IOException e) {
      report.addRejection("not-json");
    }
    return Outcome.REFUSED;
  }

  private Outcome sendStreamed(String caller, String model, String prompt, long scheduledNanos) {
    InputStreamResponseListener listener = new InputStreamResponseListener();
    completionRequest(caller, model, prompt, true).send(listener);
    try {
      var response = listener.get(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS);
      if (response.getStatus() != HttpStatus.OK_200) {
        byte[] body = listener.getInputStream().readAllBytes();
        report.addRejection(Json.tree(body).path("code").asText("none"));
        return Outcome.REFUSED;
      }
      return readStream(listener, prompt, scheduledNanos);
    } catch (InterruptedException | ExecutionException | TimeoutException | IOException e) {
      return Outcome.NO_ANSWER;
    }
  }

  private Outcome readStream(
      InputStreamResponseListener listener, String prompt, long scheduledNanos) throws IOException {
    StringBuilder text = new StringBuilder();
    long previousNanos = 0;
    boolean failed = false;
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(listener.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        failed |= line.equals("event: error");
        if (line.equals("data: [DONE]")) {
          return classify(text.toString(), prompt, scheduledNanos);
        }
        if (line.startsWith("data: ") && !failed) {
          long now = System.nanoTime();
          if (previousNanos == 0) {
            report.addTimeToFirstToken((now - scheduledNanos) / 1_000);
          } else {
            report.addInterTokenLatency((now - previousNanos) / 1_000);
          }
          previousNanos = now;
          JsonNode data = Json.MAPPER.readTree(line.substring("data: ".length()));
          text.append(data.path("choices").path(0).path("text").asText());
        }
      }
    }
    return failed ? Outcome.CUT_WITH_ERROR : Outcome.WRONG;
  }

  private Outcome sendNonIdempotent(String caller, String key) {
    try {
      ContentResponse response =
          client
              .POST("http://" + caller + "/services/" + plan.service() + "/orders")
              .headers(fields -> fields.put(HeaderNames.IDEMPOTENCY_KEY, key))
              .timeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
              .idleTimeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
              .body(new BytesRequestContent("application/json", Json.bytes(Map.of("order", key))))
              .send();
      if (response.getStatus() == HttpStatus.CREATED_201) {
        reportedExecutedKeys.add(key);
        return Outcome.IN_TIME;
      }
      String code = Json.tree(response.getContent()).path("code").asText();
      report.addRejection(code);
      return switch (code) {
        case "order-not-run" -> {
          reportedNotExecutedKeys.add(key);
          yield Outcome.NOT_RUN;
        }
        case "order-outcome-unknown" -> Outcome.UNKNOWN;
        default -> Outcome.REFUSED;
      };
    } catch (InterruptedException | ExecutionException | TimeoutException | IOException e) {
      return Outcome.NO_ANSWER;
    }
  }

  private static void sleepUntil(long nanos) {
    long remaining = nanos - System.nanoTime();
    while (remaining > 0) {
      LockSupport.parkNanos(remaining);
      remaining = nanos - System.nanoTime();
    }
  }
}
