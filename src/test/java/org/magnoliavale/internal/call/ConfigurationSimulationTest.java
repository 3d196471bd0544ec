package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.WeightedService;

/** Plays calls beside changes of the configuration and of endpoints, on a virtual clock. */
class ConfigurationSimulationTest extends CallFixture {
  private static final int SEEDS = Integer.getInteger("simulation.seeds", 40);
  private static final int FIRST_SEED = Integer.getInteger("simulation.first-seed", 1);
  private static final int STEP_MS = 50;
  private static final int BEGIN_MS = 4_000;
  private static final int PLAY_MS = 9_000;
  private static final int LONGEST_TIMEOUT_MS = 4_000;
  private static final ServiceId OTHER_SERVICE = new ServiceId("other");
  private static final List<String> PREFIXES = List.of("/safe/", "/unsafe/", "/stream/", "/once/");

  private Random random;
  private final Map<String, Route> routes = new TreeMap<>();
  private int version;
  private final List<SimulatedAttempt> attempts = new ArrayList<>();
  private final List<SimulatedCaller> callers = new ArrayList<>();
  private final Map<String, Integer> incarnations = new TreeMap<>();
  private String seed;
  private int answered;
  private int begun;

  @Override
  RouteTable createTable() {
    return RouteTable.of(
        version,
        List.copyOf(routes.values()),
        List.of(
            new ServiceSpecification(TestEntries.SERVICE, connectionLimit, Optional.empty()),
            new ServiceSpecification(OTHER_SERVICE, connectionLimit, Optional.empty())),
        1_000);
  }

  /** Guards against calls without an end, or with a false one, beside a configuration. */
  @Test
  void eachCallHasOneTrueEndInItsTime() {
    for (int number = FIRST_SEED; number < FIRST_SEED + SEEDS; number++) {
      play(number);
    }
    assertThat(begun).as("calls").isGreaterThan(SEEDS * 10);
    assertThat(answered).as("answered calls").isGreaterThan(begun / 5);
  }

  private void play(int number) {
    seed = "seed " + number;
    random = new Random(number);
    now += TimeUnit.SECONDS.toNanos(60);
    start();
    retryBudget.updateLimits(0, 1_000, TimeUnit.SECONDS.toNanos(10));
    connector.sent().clear();
    attempts.clear();
    callers.clear();
    incarnations.clear();
    routes.clear();
    PREFIXES.forEach(prefix -> routes.put(prefix, randomRoute(prefix)));
    changeEndpoints();
    for (int elapsedMs = 0; elapsedMs < PLAY_MS; elapsedMs += STEP_MS) {
      step(elapsedMs < BEGIN_MS);
    }
    assertThat(callers.stream().filter(SimulatedCaller::isOpen)).as(seed).isEmpty();
    assertThat(calls.size()).as(seed).isZero();
    begun += callers.size();
    answered += (int) callers.stream().filter(SimulatedCaller::isAnswered).count();
  }

  private void step(boolean begins) {
    List<SimulatedAttempt> atWork = attempts.stream().filter(SimulatedAttempt::isOpen).toList();
    advance(STEP_MS);
    callers.forEach(sender -> sender.checkTick(atWork, now, seed));
    if (begins) {
      if (random.nextInt(4) == 0) {
        beginCall();
      }
      if (random.nextInt(8) == 0) {
        disturb();
      }
    }
    while (attempts.size() < connector.sent().size()) {
      attempts.add(new SimulatedAttempt(connector.sent().get(attempts.size()), random));
    }
    check(atWork);
    callers.stream().filter(sender -> random.nextInt(4) == 0).forEach(SimulatedCaller::read);
    for (SimulatedAttempt attempt : List.copyOf(attempts)) {
      boolean crashed = attempt.hasCrashed();
      List<SimulatedAttempt> others = open(attempt);
      if (attempt.step(STEP_MS)) {
        check(others);
      }
      if (!crashed && attempt.hasCrashed() && random.nextBoolean()) {
        crashDetector.endpointDown(attempt.sent().request().endpoint().identity(), now);
      }
    }
  }

  private List<SimulatedAttempt> open(SimulatedAttempt without) {
    return attempts.stream().filter(other -> other != without && other.isOpen()).toList();
  }

  private void check(List<SimulatedAttempt> atWork) {
    callers.forEach(sender -> sender.check(attempts, atWork, now, seed));
  }

  private void beginCall() {
    String prefix = PREFIXES.get(random.nextInt(PREFIXES.size()));
    String path = prefix + callers.size() + "-" + random.nextInt(1_000);
    Optional<Route> route = createTable().match("menus.example", path);
    caller = new RecordingCaller();
    if (random.nextInt(4) == 0) {
      caller.holdWrites();
    }
    long remainingMs = random.nextInt(4) == 0 ? Long.MAX_VALUE : 200 + random.nextInt(4_000);
    Runnable disconnect = call(path, headers(remainingMs));
    if (route.isEmpty()) {
      assertThat(caller.status()).as(seed).isEqualTo(404);
      return;
    }
    long timeMs = Math.min(remainingMs, route.get().timeout().toMillis());
    long deadline = now + TimeUnit.MILLISECONDS.toNanos(timeMs);
    callers.add(new SimulatedCaller(path, route.get(), deadline, caller, disconnect));
  }

  private String[] headers(long remainingMs) {
    List<String> headers = new ArrayList<>(List.of("X-Time-Remaining", Long.toString(remainingMs)));
    if (random.nextInt(3) == 0) {
      headers.addAll(List.of("X-Model", random.nextInt(4) == 0 ? "absent" : "m"));
      headers.addAll(List.of("X-Prompt-Prefix", "a" + random.nextInt(3) + ":10,own:5"));
    }
    return headers.toArray(String[]::new);
  }

  private void disturb() {
    switch (random.nextInt(10)) {
      case 0, 1 -> pauseOneEndpoint();
      case 2 -> routes.remove(PREFIXES.get(random.nextInt(PREFIXES.size())));
      case 3, 4 -> PREFIXES.forEach(this::maybeChangeRoute);
      case 5 -> changeEndpoints();
      case 6 -> retryBudget.updateLimits(0, random.nextInt(3), TimeUnit.SECONDS.toNanos(10));
      case 7 ->
          callers.stream()
              .filter(SimulatedCaller::isOpen)
              .findAny()
              .ifPresent(SimulatedCaller::leave);
      case 8 -> calls.rejectCallsAfter(now + TimeUnit.MILLISECONDS.toNanos(random.nextInt(8_000)));
      default -> connectionLimit = 1 + random.nextInt(8);
    }
    version++;
  }

  /** One endpoint sends nothing for about a second, or two, and then goes on. */
  private void pauseOneEndpoint() {
    List<SimulatedAttempt> open = open(null);
    if (open.isEmpty()) {
      return;
    }
    String endpoint = open.get(random.nextInt(open.size())).sent().endpoint();
    int milliseconds = 900 + random.nextInt(1_200);
    open.stream()
        .filter(attempt -> attempt.sent().endpoint().equals(endpoint))
        .forEach(attempt -> attempt.pause(milliseconds));
  }

  private void maybeChangeRoute(String prefix) {
    if (random.nextBoolean()) {
      routes.put(prefix, randomRoute(prefix));
    }
  }

  private Route randomRoute(String prefix) {
    CallKind kind =
        switch (prefix) {
          case "/safe/" -> CallKind.IDEMPOTENT;
          case "/unsafe/" -> CallKind.NON_IDEMPOTENT;
          default -> CallKind.STREAM;
        };
    boolean repeatable = prefix.equals("/safe/") || prefix.equals("/stream/");
    return new Route(
        prefix,
        "menus.example",
        prefix,
        kind,
        prefix.equals("/stream/"),
        0,
        repeatable ? 1 + random.nextInt(3) : 1,
        Duration.ofMillis(200 + random.nextInt(LONGEST_TIMEOUT_MS - 200)),
        Duration.ofMillis(200),
        List.of(
            new WeightedService(random.nextInt(5) == 0 ? OTHER_SERVICE : TestEntries.SERVICE, 1)));
  }

  /** Endpoints leave, drain, come back as others, and come newly. */
  private void changeEndpoints() {
    List<DirectoryEntry> entries = new ArrayList<>();
    for (String id : List.of("a", "b", "c", "d")) {
      int incarnation = incarnations.merge(id, random.nextInt(3) == 0 ? 1 : 0, Integer::sum);
      switch (random.nextInt(6)) {
        case 0 -> {}
        case 1 -> entries.add(TestEntries.draining(id + incarnation, version, "m"));
        default -> entries.add(TestEntries.entry(id + incarnation, version, "m"));
      }
    }
    updateEndpoints(entries.toArray(DirectoryEntry[]::new));
    calls.endpointsChanged();
  }
}
