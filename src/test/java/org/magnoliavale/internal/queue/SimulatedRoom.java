package org.magnoliavale.internal.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.identifier.TenantId;

/**
 * Room for calls of one queue on a virtual clock, in tokens: a call takes its tokens for a fixed
 * time. Calls wait as an instance lets them wait, and are rejected when their forecast leaves no
 * time.
 */
final class SimulatedRoom {
  static final QueueId QUEUE =
      new QueueId(new ServiceId("assistant"), Optional.of(Artifact.parse("m")));

  /** Time for which a call takes its room. */
  static final long WORK_MS = 250;

  /** Time to the first event of a call that has been started. */
  static final long FIRST_EVENT_MS = 60;

  private static final long ANSWER_MS = 100;
  private static final long FORECAST_INTERVAL_MS = 200;
  private static final int MAXIMUM_PASSED_OVER = 3;

  /** A kind of calls, and how many of them arrive. */
  static final class Load {
    private final String name;
    private final double perSecond;
    private Optional<TenantId> tenant = Optional.empty();
    private int priority;
    private int tokens = 1_000;
    private long targetMs = 500;
    private long patienceMs = 2_400;
    private double leaving;

    Load(String name, double perSecond) {
      this.name = name;
      this.perSecond = perSecond;
    }

    Load tenant(String id) {
      tenant = Optional.of(new TenantId(id));
      return this;
    }

    Load priority(int value) {
      priority = value;
      return this;
    }

    Load tokens(int value) {
      tokens = value;
      return this;
    }

    Load target(long targetMilliseconds, long patienceMilliseconds) {
      targetMs = targetMilliseconds;
      patienceMs = patienceMilliseconds;
      return this;
    }

    /** Sets the part of callers that leave while they wait. */
    Load leaving(double part) {
      leaving = part;
      return this;
    }
  }

  /** What a caller got. */
  static final class Outcome {
    private final Load load;
    private final long arrivedMs;
    private WaitingCall call;
    private long startedMs = -1;
    private long rejectedMs = -1;
    private long leavesMs = Long.MAX_VALUE;
    private long nextForecastMs;

    private Outcome(Load load, long arrivedMs) {
      this.load = load;
      this.arrivedMs = arrivedMs;
    }

    String name() {
      return load.name;
    }

    boolean isServed() {
      return startedMs >= 0 && startedMs + FIRST_EVENT_MS <= arrivedMs + load.patienceMs;
    }

    boolean isInTime() {
      return startedMs >= 0 && startedMs + FIRST_EVENT_MS <= arrivedMs + load.targetMs;
    }

    boolean isStartedForNobody() {
      return startedMs >= 0 && !isServed();
    }

    boolean isRejected() {
      return rejectedMs >= 0;
    }

    long waitedUntilRejectedMs() {
      return rejectedMs - arrivedMs;
    }
  }

  private record Work(long endMs, int tokens) {}

  final WaitingCalls waiting = new WaitingCalls();
  private final Random random;
  private final List<Load> loads = new ArrayList<>();
  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<Outcome> queued = new ArrayList<>();
  private final PriorityQueue<Work> running =
      new PriorityQueue<>((one, other) -> Long.compare(one.endMs(), other.endMs()));
  private long capacityTokens;
  private long usedTokens;
  private long nowMs;
  private long lastNumber;

  SimulatedRoom(int seed, long capacityTokens) {
    random = new Random(seed);
    this.capacityTokens = capacityTokens;
  }

  void setCapacity(long tokens) {
    capacityTokens = tokens;
  }

  void setLoads(List<Load> newLoads) {
    loads.clear();
    loads.addAll(newLoads);
  }

  List<Outcome> outcomes() {
    return outcomes;
  }

  List<Outcome> outcomes(String name) {
    return outcomes.stream().filter(outcome -> outcome.name().equals(name)).toList();
  }

  static double part(List<Outcome> outcomes, java.util.function.Predicate<Outcome> property) {
    return (double) outcomes.stream().filter(property).count() / outcomes.size();
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  void run(long milliseconds) {
    long endMs = nowMs + milliseconds;
    for (; nowMs < endMs; nowMs++) {
      boolean freed = endWork();
      loads.forEach(this::arrive);
      if (freed) {
        serve();
      }
      queued.removeIf(outcome -> !waiting.contains(outcome.call) || ends(outcome));
    }
  }

  private boolean endWork() {
    boolean freed = false;
    while (!running.isEmpty() && running.peek().endMs() <= nowMs) {
      usedTokens -= running.poll().tokens();
      freed = true;
    }
    return freed;
  }

  private void arrive(Load load) {
    double expected = load.perSecond / TimeUnit.SECONDS.toMillis(1);
    while (random.nextDouble() < expected) {
      expected--;
      add(load);
    }
  }

  /** Adds one call. */
  Outcome add(Load load) {
    Outcome outcome = new Outcome(load, nowMs);
    outcomes.add(outcome);
    outcome.call =
        new WaitingCall(
            ++lastNumber,
            QUEUE,
            load.tenant,
            1,
            load.priority,
            load.tokens,
            TimeUnit.MILLISECONDS.toNanos(nowMs + load.targetMs * 9 / 10 - ANSWER_MS),
            TimeUnit.MILLISECONDS.toNanos(nowMs + load.targetMs - ANSWER_MS),
            TimeUnit.MILLISECONDS.toNanos(nowMs + load.patienceMs - ANSWER_MS));
    if (random.nextDouble() < load.leaving) {
      outcome.leavesMs = nowMs + random.nextLong(load.patienceMs);
    }
    boolean behind = waiting.size() > 0 && waiting.ahead(outcome.call, nanos()) > 0;
    if (!behind && start(outcome)) {
      return outcome;
    }
    waiting.add(outcome.call, nanos());
    block();
    if (!ends(outcome)) {
      queued.add(outcome);
    }
    return outcome;
  }

  private boolean start(Outcome outcome) {
    if (usedTokens + outcome.load.tokens > capacityTokens) {
      return false;
    }
    usedTokens += outcome.load.tokens;
    running.add(new Work(nowMs + WORK_MS, outcome.load.tokens));
    outcome.startedMs = nowMs;
    return true;
  }

  private void block() {
    long roomMs = running.isEmpty() ? nowMs + WORK_MS : running.peek().endMs();
    waiting.block(QUEUE, new Blockage.NoRoom(TimeUnit.MILLISECONDS.toNanos(roomMs)), nanos());
  }

  private void serve() {
    Set<WaitingCall> passedOver = new HashSet<>();
    while (passedOver.size() < MAXIMUM_PASSED_OVER) {
      Optional<WaitingCall> first = waiting.first(List.of(QUEUE), passedOver, nanos());
      if (first.isEmpty()) {
        return;
      }
      Outcome outcome = outcomes.get((int) first.get().number() - 1);
      if (start(outcome)) {
        waiting.served(first.get(), passedOver, nanos());
      } else {
        block();
        passedOver.add(first.get());
        if (!waiting.mayBePassed(first.get())) {
          return;
        }
      }
    }
  }

  /** Rejects a call that can't be answered in time, and lets its caller leave. */
  private boolean ends(Outcome outcome) {
    if (nowMs >= outcome.leavesMs) {
      return waiting.remove(outcome.call, nanos());
    }
    long remaining = outcome.call.limitNanos() - nanos();
    boolean hopeless = remaining <= 0;
    if (!hopeless && nowMs >= outcome.nextForecastMs) {
      outcome.nextForecastMs = nowMs + FORECAST_INTERVAL_MS;
      Optional<WaitForecast> forecast = waiting.forecast(outcome.call, nanos());
      hopeless =
          forecast.isPresent()
              && forecast.get().timeToStart().compareTo(Duration.ofNanos(remaining)) > 0;
    }
    if (hopeless) {
      waiting.remove(outcome.call, nanos());
      outcome.rejectedMs = nowMs;
    }
    return hopeless;
  }
}
