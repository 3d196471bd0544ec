package org.magnoliavale.internal.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.call.AttemptListener;
import org.magnoliavale.internal.call.OutgoingRequest;

/** A simulated endpoint that takes all requests, and names a limit while it has one. */
final class LimitedEndpoint {
  /** Time within which the requests of an endpoint are counted together. */
  private static final int WINDOW_MS = 4_000;

  /** Time from the first answer with a limit until the limit is binding. */
  static final int STABLE_MS = 3_000;

  /** Time from an instance's first answer with a limit until its requests count. */
  private static final int TOLD_MS = 500;

  private static final double OVERAGE = 1.5;
  private static final int RESERVE = 5;
  private static final int WORK_MS = 40;
  private static final int LINK_DELAY_MS = 2;
  private static final String LIMIT = "Server-Limit";

  /** A request that reached the endpoint. */
  private record Arrival(int atMs, boolean counted) {}

  private final String id;
  private final SimulatedTime time;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<Integer, Integer> toldAtMs = new HashMap<>();
  private OptionalDouble limit = OptionalDouble.empty();
  private int limitedFromMs;
  private int namedAtMs = Integer.MAX_VALUE;

  LimitedEndpoint(String id, SimulatedTime time) {
    this.id = id;
    this.time = time;
  }

  String id() {
    return id;
  }

  void nameLimit(double requestsPerSecond) {
    limit = OptionalDouble.of(requestsPerSecond);
    limitedFromMs = time.nowMs();
    namedAtMs = Integer.MAX_VALUE;
    toldAtMs.clear();
  }

  void nameNoLimit() {
    limit = OptionalDouble.empty();
  }

  void receive(LimitedFleet.Instance from, OutgoingRequest request, AttemptListener listener) {
    int now = time.nowMs();
    boolean told = toldAtMs.getOrDefault(from.number(), now) + TOLD_MS <= now;
    boolean binding = namedAtMs < Integer.MAX_VALUE && now >= namedAtMs + STABLE_MS;
    boolean counted = limit.isPresent() && told && binding && !from.isExcused();
    arrivals.add(new Arrival(now, counted));
    time.after(WORK_MS, () -> answer(from, request, listener));
  }

  private void answer(
      LimitedFleet.Instance from, OutgoingRequest request, AttemptListener listener) {
    HttpFields.Mutable headers =
        HttpFields.build()
            .put("X-Request-Attempt-Id", request.headers().get("X-Request-Attempt-Id"))
            .put("X-Response-Signature", "signature")
            .put("Content-Length", "2");
    if (limit.isPresent()) {
      headers.put(LIMIT, Double.toString(limit.getAsDouble()));
      namedAtMs = Math.min(namedAtMs, time.nowMs());
    }
    time.after(LINK_DELAY_MS, () -> deliver(from, headers, listener));
  }

  private void deliver(LimitedFleet.Instance to, HttpFields headers, AttemptListener listener) {
    if (!to.runs()) {
      return;
    }
    if (headers.contains(LIMIT)) {
      toldAtMs.putIfAbsent(to.number(), time.nowMs());
    }
    listener.onResponseHead(200, headers);
    listener.onContent(ByteBuffer.wrap("ok".getBytes(StandardCharsets.UTF_8)), () -> {});
    listener.onCompleted();
  }

  /** Returns the requests that reached it since a time. */
  int requestsSince(int fromMs) {
    return (int) arrivals.stream().filter(one -> one.atMs() >= fromMs).count();
  }

  /**
   * Returns how many requests of instances that it had told reached it in the worst window of its
   * last limit.
   */
  int worstWindow() {
    List<Integer> counted =
        arrivals.stream()
            .filter(one -> one.counted() && one.atMs() >= limitedFromMs)
            .map(Arrival::atMs)
            .toList();
    int worst = 0;
    int first = 0;
    for (int last = 0; last < counted.size(); last++) {
      while (counted.get(last) - counted.get(first) >= WINDOW_MS) {
        first++;
      }
      worst = Math.max(worst, last - first + 1);
    }
    return worst;
  }

  /** Returns how many requests may reach an endpoint with a limit in a window. */
  static double allowed(double limit) {
    return OVERAGE * limit * WINDOW_MS / TimeUnit.SECONDS.toMillis(1) + RESERVE;
  }
}
