package org.magnoliavale.internal.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Instances that send requests for one model to endpoints of different speed, on a virtual clock.
 * An endpoint runs a number of requests at once, more slowly the more there are, reads one prompt
 * after the other, lets some more wait and rejects the rest; it reports its load with each first
 * event and each rejection.
 */
final class LoadedFleet {
  static final int SLOTS = 16;
  static final long MEMORY_TOKENS = 60_000;
  static final int SHARED_TOKENS = 350;
  private static final int QUEUE = 33;
  private static final long STEP_MS = 5;
  private static final double TOKEN_MS = 8.2;
  private static final double TOKEN_MS_PER_REQUEST = 0.3;
  private static final double PROMPT_TOKENS_PER_MS = 25;
  private static final int TOKENS_PER_EVENT = 5;
  private static final int MEAN_PROMPT_TOKENS = 1_100;
  private static final int OUTPUT_TOKENS = 170;
  private static final long TELL_INTERVAL_MS = 200;
  private static final long WAIT_MS = 50;
  private static final long WARM_UP_MS = 10_000;
  private static final double[] SPEEDS = {0.6, 1.0, 1.6};

  /** How an instance selects endpoints. */
  interface Selection {
    /** Returns the endpoint that a request is sent to; -1 if it has to wait. */
    int choose(Request request, long nowNanos);

    void reported(int endpoint, ReportedLoad load, long nowNanos);

    void event(Request request, long nowNanos);

    void ended(Request request, boolean rejected, long nowNanos);

    /** Tells peers what endpoints have reported to this instance, or also to others. */
    void tell(List<Selection> peers, boolean relayed, long nowNanos);
  }

  /** Creates the selection of an instance. */
  interface SelectionFactory {
    Selection create(int endpoints, int instances, Random random);
  }

  /** A request of one instance. */
  static final class Request {
    final Selection instance;
    final int promptTokens;
    final int outputTokens;
    final long arrivedMs;
    Object handle;
    int endpoint;
    private double unread;
    private double written;

    private Request(Selection instance, int promptTokens, int outputTokens, long arrivedMs) {
      this.instance = instance;
      this.promptTokens = promptTokens;
      this.outputTokens = outputTokens;
      this.arrivedMs = arrivedMs;
    }
  }

  /** What happened after the warm-up. */
  static final class Result {
    final int[] arrivals;
    int rejections;
    int firstEvents;
    int lateFirstEvents;
    int waits;

    private Result(int endpoints) {
      arrivals = new int[endpoints];
    }

    private int allArrivals() {
      int all = 0;
      for (int count : arrivals) {
        all += count;
      }
      return all;
    }

    double rejectedShare() {
      return (double) rejections / allArrivals();
    }

    double lateShare() {
      return (double) lateFirstEvents / firstEvents;
    }

    /** Returns the arrivals at the busiest endpoint as a multiple of its fair share by speed. */
    double busiest() {
      double speeds = 0;
      for (int i = 0; i < arrivals.length; i++) {
        speeds += speed(i);
      }
      double busiest = 0;
      for (int i = 0; i < arrivals.length; i++) {
        busiest = Math.max(busiest, arrivals[i] / (allArrivals() * speed(i) / speeds));
      }
      return busiest;
    }
  }

  private final class Endpoint {
    private final int index;
    private final Deque<Request> waiting = new ArrayDeque<>();
    private final List<Request> running = new ArrayList<>();

    private Endpoint(int index) {
      this.index = index;
    }

    private ReportedLoad load() {
      return new ReportedLoad(running.size(), waiting.size(), SLOTS);
    }

    private void accept(Request request) {
      result.arrivals[index]++;
      if (waiting.size() >= QUEUE) {
        result.rejections++;
        request.instance.reported(index, load(), nanos());
        request.instance.ended(request, true, nanos());
        retries.add(request);
        return;
      }
      request.unread = request.promptTokens - SHARED_TOKENS;
      waiting.add(request);
    }

    private void step() {
      double readable = STEP_MS * PROMPT_TOKENS_PER_MS * speed(index);
      while (!waiting.isEmpty() && running.size() < SLOTS && readable > 0) {
        Request first = waiting.getFirst();
        double read = Math.min(readable, first.unread);
        first.unread -= read;
        readable -= read;
        if (first.unread <= 0) {
          running.add(waiting.removeFirst());
          begin(first);
        }
      }
      double tokenMs = (TOKEN_MS + TOKEN_MS_PER_REQUEST * running.size()) / speed(index);
      running.removeIf(request -> write(request, STEP_MS / tokenMs));
    }

    private void begin(Request request) {
      result.firstEvents++;
      if (nowMs - request.arrivedMs > targetMs) {
        result.lateFirstEvents++;
      }
      request.instance.reported(index, load(), nanos());
      request.instance.event(request, nanos());
    }

    private boolean write(Request request, double tokens) {
      int before = (int) request.written / TOKENS_PER_EVENT;
      request.written += tokens;
      if ((int) request.written / TOKENS_PER_EVENT > before) {
        request.instance.event(request, nanos());
      }
      boolean end = request.written >= request.outputTokens;
      if (end) {
        request.instance.ended(request, false, nanos());
      }
      return end;
    }
  }

  private final Random random;
  private final double requestsPerMs;
  private final long targetMs;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<Selection> instances = new ArrayList<>();
  private final Selection relay;
  private final List<Request> retries = new ArrayList<>();
  private final PriorityQueue<Request> queue =
      new PriorityQueue<>((a, b) -> Long.compare(a.arrivedMs, b.arrivedMs));
  private Result result;
  private long nowMs = TimeUnit.HOURS.toMillis(1);

  /**
   * Creates a fleet.
   *
   * @param load arrivals as a share of what the endpoints can run with all slots in use
   * @param targetMs time after which a first event is late
   */
  LoadedFleet(
      int instanceCount,
      int endpointCount,
      double load,
      long targetMs,
      long seed,
      SelectionFactory factory) {
    random = new Random(seed);
    this.targetMs = targetMs;
    double requestsPerMsAtOne = SLOTS / (OUTPUT_TOKENS * (TOKEN_MS + TOKEN_MS_PER_REQUEST * SLOTS));
    double speeds = 0;
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(new Endpoint(i));
      speeds += speed(i);
    }
    requestsPerMs = load * requestsPerMsAtOne * speeds;
    for (int i = 0; i < instanceCount; i++) {
      instances.add(factory.create(endpointCount, instanceCount, new Random(seed * 100 + i)));
    }
    relay = factory.create(endpointCount, instanceCount, new Random(seed));
    result = new Result(endpointCount);
  }

  static double speed(int endpoint) {
    return SPEEDS[endpoint % SPEEDS.length];
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  /** Plays a time after a warm-up. */
  Result run(long milliseconds) {
    play(WARM_UP_MS);
    result = new Result(endpoints.size());
    play(milliseconds);
    return result;
  }

  private void play(long milliseconds) {
    long endMs = nowMs + milliseconds;
    while (nowMs < endMs) {
      arrive();
      List<Request> again = new ArrayList<>(retries);
      retries.clear();
      again.forEach(this::send);
      if (nowMs % WAIT_MS == 0) {
        List<Request> waited = new ArrayList<>(queue);
        queue.clear();
        waited.forEach(this::send);
      }
      endpoints.forEach(Endpoint::step);
      tell();
      nowMs += STEP_MS;
    }
  }

  private void arrive() {
    double expected = requestsPerMs * STEP_MS;
    while (random.nextDouble() < expected / (1 + expected)) {
      // Callers are spread unevenly: the lower of two numbers is drawn.
      int drawn = Math.min(random.nextInt(instances.size()), random.nextInt(instances.size()));
      Selection instance = instances.get(drawn);
      int prompt = SHARED_TOKENS + (int) (-Math.log(1 - random.nextDouble()) * MEAN_PROMPT_TOKENS);
      int output = OUTPUT_TOKENS / 2 + random.nextInt(OUTPUT_TOKENS);
      send(new Request(instance, prompt, output, nowMs));
    }
  }

  private void send(Request request) {
    request.endpoint = request.instance.choose(request, nanos());
    if (request.endpoint < 0) {
      result.waits++;
      queue.add(request);
    } else {
      endpoints.get(request.endpoint).accept(request);
    }
  }

  /** Every instance tells a relay what it has heard, and the relay tells all. */
  private void tell() {
    for (int i = 0; i < instances.size(); i++) {
      long phaseMs = i * TELL_INTERVAL_MS / instances.size() / STEP_MS * STEP_MS;
      if (nowMs % TELL_INTERVAL_MS == phaseMs) {
        instances.get(i).tell(List.of(relay), false, nanos());
      }
    }
    if (nowMs % TELL_INTERVAL_MS == 0) {
      relay.tell(instances, true, nanos());
    }
  }
}
