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
import org.magnoliavale.internal.http.EngineHeaders;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.standin.StandInTokens;

/** One open-loop run: requests start when they are due, however many are in progress. */
public final class LoadRun {
  private static final int CONNECTIONS = 4_096;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IDLE_CONNECTION = Duration.ofSeconds(2);
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final LoadPlan plan;
  private final List<String> models;
  private final LoadReport report = new LoadReport();
  private final RandomGenerator random;
  private final HttpClient client =
      HttpClients.create("load", CONNECTIONS, CONNECT_TIMEOUT, IDLE_CONNECTION);
  private final Set<String> completeOrders = ConcurrentHashMap.newKeySet();
  private final Set<String> ordersNotRun = ConcurrentHashMap.newKeySet();

  /** Returns a run over {@code models}; the first is asked for most. */
  public LoadRun(LoadPlan plan, List<String> models) {
    this.plan = plan;
    this.models = List.copyOf(models);
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed());
  }

  /** Runs to the end and returns the report. */
  public String execute() {
    HttpClients.start(client);
    Phaser inProgress = new Phaser(1);
    long start = System.nanoTime();
    long end = start + plan.duration().toNanos();
    long due = start;
    int number = 0;
    while (due < end) {
      sleepUntil(due);
      launch(number, due, inProgress);
      number++;
      double rate = plan.rateAt((due - start) / NANOSECONDS_PER_SECOND);
      due += (long) (-Math.log(1 - random.nextDouble()) / rate * NANOSECONDS_PER_SECOND);
    }
    inProgress.arriveAndAwaitAdvance();
    HttpClients.stop(client);
    return report.text();
  }

  /** Returns the orders that were answered whole. */
  public Set<String> completeOrders() {
    return Set.copyOf(completeOrders);
  }

  /** Returns the orders that were said not to have run. */
  public Set<String> ordersNotRun() {
    return Set.copyOf(ordersNotRun);
  }

  private void launch(int number, long due, Phaser inProgress) {
    String caller = plan.callers().get(number % plan.callers().size());
    boolean order = !plan.service().isEmpty() && random.nextDouble() < plan.orderShare();
    boolean stream = random.nextDouble() < plan.streamShare();
    String model = models.get(skewedIndex());
    String prompt = "request " + plan.seed() + "-" + number;
    inProgress.register();
    Thread.startVirtualThread(
        () -> {
          try {
            Outcome outcome =
                order
                    ? order(caller, prompt)
                    : stream
                        ? stream(caller, model, prompt, due)
                        : whole(caller, model, prompt, due);
            report.add(outcome, (System.nanoTime() - due) / 1_000);
          } finally {
            inProgress.arriveAndDeregister();
          }
        });
  }

  /** Draws a model; a model of rank n is asked for in proportion to 1/n. */
  private int skewedIndex() {
    double draw = Math.pow(models.size() + 1, random.nextDouble()) - 1;
    return Math.min((int) draw, models.size() - 1);
  }

  private Request completion(String caller, String model, String prompt, boolean stream) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", model);
    body.put("prompt", prompt);
    body.put("max_tokens", plan.tokens());
    body.put("stream", stream);
    return client
        .POST("http://" + caller + "/v1/completions")
        .headers(fields -> fields.put(EngineHeaders.TIMEOUT, plan.deadline().toMillis()))
        .timeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
        .idleTimeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
        .body(new BytesRequestContent("application/json", Json.bytes(body)));
  }

  private Outcome whole(String caller, String model, String prompt, long due) {
    try {
      ContentResponse response = completion(caller, model, prompt, false).send();
      if (response.getStatus() != HttpStatus.OK_200) {
        return refused(response);
      }
      String text = Json.tree(response.getContent()).path("choices").path(0).path("text").asText();
      return judge(text, prompt, due);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      return Outcome.NO_ANSWER;
    } catch (IOException e) {
      return Outcome.WRONG;
    }
  }

  private Outcome judge(String text, String prompt, long due) {
    if (!text.equals(StandInTokens.completion(prompt, plan.tokens()))) {
      return Outcome.WRONG;
    }
    boolean inTime = System.nanoTime() - due <= plan.deadline().toNanos();
    return inTime ? Outcome.IN_TIME : Outcome.LATE;
  }

  private Outcome refused(ContentResponse response) {
    try {
      report.addRefusal(Json.tree(response.getContent()).path("code").asText("none"));
    } catch (IOException e) {
      report.addRefusal("not-json");
    }
    return Outcome.REFUSED;
  }

  private Outcome stream(String caller, String model, String prompt, long due) {
    InputStreamResponseListener listener = new InputStreamResponseListener();
    completion(caller, model, prompt, true).send(listener);
    try {
      var response = listener.get(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS);
      if (response.getStatus() != HttpStatus.OK_200) {
        byte[] body = listener.getInputStream().readAllBytes();
        report.addRefusal(Json.tree(body).path("code").asText("none"));
        return Outcome.REFUSED;
      }
      return readStream(listener, prompt, due);
    } catch (InterruptedException | ExecutionException | TimeoutException | IOException e) {
      return Outcome.NO_ANSWER;
    }
  }

  private Outcome readStream(InputStreamResponseListener listener, String prompt, long due)
      throws IOException {
    StringBuilder text = new StringBuilder();
    long last = 0;
    boolean failed = false;
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(listener.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        failed |= line.equals("event: error");
        if (line.equals("data: [DONE]")) {
          return judge(text.toString(), prompt, due);
        }
        if (line.startsWith("data: ") && !failed) {
          long now = System.nanoTime();
          if (last == 0) {
            report.addFirstToken((now - due) / 1_000);
          } else {
            report.addBetweenTokens((now - last) / 1_000);
          }
          last = now;
          JsonNode data = Json.MAPPER.readTree(line.substring("data: ".length()));
          text.append(data.path("choices").path(0).path("text").asText());
        }
      }
    }
    return failed ? Outcome.CUT_WITH_ERROR : Outcome.WRONG;
  }

  private Outcome order(String caller, String order) {
    try {
      ContentResponse response =
          client
              .POST("http://" + caller + "/services/" + plan.service() + "/orders")
              .headers(fields -> fields.put(EngineHeaders.IDEMPOTENCY_KEY, order))
              .timeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
              .idleTimeout(plan.deadline().toMillis() * 2, TimeUnit.MILLISECONDS)
              .body(new BytesRequestContent("application/json", Json.bytes(Map.of("order", order))))
              .send();
      if (response.getStatus() == HttpStatus.CREATED_201) {
        completeOrders.add(order);
        return Outcome.IN_TIME;
      }
      String code = Json.tree(response.getContent()).path("code").asText();
      report.addRefusal(code);
      return switch (code) {
        case "order-not-run" -> {
          ordersNotRun.add(order);
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
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }
}
