package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliavale.internal.Seeds;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.link.CrashRecords;

/**
 * Eight instances and eight endpoints on a virtual clock. From 4 s on, some requests hold a segment
 * that crashes each endpoint that begins to write an answer on it; no two requests are alike.
 *
 * <p>{@code -Dseeds=N} plays N seeds instead of the ones for CI.
 */
class CrashingSegmentFleetTest {
  private static final int INSTANCES = 8;
  private static final int ENDPOINTS = 8;
  private static final int STEP_MS = 10;
  private static final int END_MS = 30_000;
  private static final int DEADLY_FROM_MS = 4_000;
  private static final int RESTART_MS = 4_500;
  private static final int HEARTBEAT_MS = 500;
  private static final int AVOID_DOWN_ENDPOINT_MS = 1_000;
  private static final int MAXIMUM_ATTEMPTS = 2;
  private static final double REQUESTS_PER_STEP = 0.25;
  private static final double DEADLY_SHARE = 0.05;
  private static final int FIRST_SEGMENTS = 3;
  private static final int SECOND_SEGMENTS = 59;
  private static final int CRASHES_BEFORE_JUDGING = 5;
  private static final int STABLE_MS = 3_000;
  private static final int MAXIMUM_SENT_AFTER = 3;

  private record Request(CrashKeys keys, boolean deadly, int attempt) {}

  private record Probe(int instance, DirectoryEntry endpoint) {}

  private record Running(Request request, int instance, int beginsMs, int endsMs) {}

  private final CrashRegistry[] registries = new CrashRegistry[INSTANCES];
  private final CrashDetector[] detectors = new CrashDetector[INSTANCES];
  private final int[][] avoidedUntilMs = new int[INSTANCES][ENDPOINTS];
  private final List<List<Running>> running = new ArrayList<>();
  private final DirectoryEntry[] incarnations = new DirectoryEntry[ENDPOINTS];
  private final List<Probe> probes = new ArrayList<>();
  private final int[] downUntilMs = new int[ENDPOINTS];
  private Random random;
  private int nowMs;
  private int requests;
  private int crashes;

  /** When the fifth endpoint crashed, or the last one if they are fewer. */
  private int judgedFromMs = END_MS;

  private int deadlySentAfter;
  private int soundBefore;
  private int soundSentBefore;
  private int soundAfter;
  private int soundSentAfter;

  static List<Integer> seeds() {
    return Seeds.upTo(10);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void requestsWithTheSegmentEndAndSoundOnesGoOn(int seed) {
    play(seed);
    assertThat(crashes).isPositive();
    assertThat(deadlySentAfter).isLessThanOrEqualTo(MAXIMUM_SENT_AFTER);
    double before = (double) soundSentBefore / soundBefore;
    assertThat((double) soundSentAfter / soundAfter).isGreaterThanOrEqualTo(before / 2);
  }

  private void play(int seed) {
    random = new Random(seed);
    for (int i = 0; i < INSTANCES; i++) {
      registries[i] = new CrashRegistry("i" + i, () -> Instant.ofEpochMilli(nowMs));
      int instance = i;
      detectors[i] =
          new CrashDetector(registries[i], entry -> probes.add(new Probe(instance, entry)));
    }
    for (int e = 0; e < ENDPOINTS; e++) {
      running.add(new ArrayList<>());
      incarnations[e] = TestEntries.incarnation("e" + e, 1);
    }
    for (nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
      step();
    }
  }

  private void step() {
    List.copyOf(probes).forEach(this::answer);
    probes.clear();
    for (int e = 0; e < ENDPOINTS; e++) {
      if (downUntilMs[e] == nowMs && nowMs > 0) {
        incarnations[e] = TestEntries.incarnation("e" + e, nowMs);
      }
      run(e);
    }
    if (nowMs % HEARTBEAT_MS == 0) {
      exchangeHeartbeats();
    }
    if (random.nextDouble() < REQUESTS_PER_STEP) {
      arrive(newRequest(), random.nextInt(INSTANCES));
    }
  }

  private void answer(Probe probe) {
    for (int e = 0; e < ENDPOINTS; e++) {
      if (incarnations[e].equals(probe.endpoint()) && downUntilMs[e] > nowMs) {
        detectors[probe.instance()].endpointDown(probe.endpoint().identity(), nanos());
      }
    }
  }

  private void exchangeHeartbeats() {
    for (int from = 0; from < INSTANCES; from++) {
      String sender = "i" + from;
      var records = registries[from].localCounts().stream().map(CrashRecords::of).toList();
      for (int to = 0; to < INSTANCES; to++) {
        CrashRegistry receiver = registries[to];
        if (to != from) {
          records.forEach(record -> receiver.merge(sender, CrashRecords.toCount(sender, record)));
        }
      }
    }
  }

  private Request newRequest() {
    requests++;
    boolean deadly = nowMs >= DEADLY_FROM_MS && random.nextDouble() < DEADLY_SHARE;
    String first = "first-" + random.nextInt(FIRST_SEGMENTS);
    String second = deadly ? "deadly" : "second-" + random.nextInt(SECOND_SEGMENTS);
    CrashKeys keys =
        new CrashKeys(
            Fingerprint.of("/" + requests, new byte[0]),
            List.of(Fingerprint.ofSegment(first), Fingerprint.ofSegment(second)));
    return new Request(keys, deadly, 1);
  }

  private void arrive(Request request, int instance) {
    boolean sent = !detectors[instance].isBlocked(request.keys()) && send(request, instance);
    if (request.deadly()) {
      return;
    }
    if (nowMs < DEADLY_FROM_MS) {
      soundBefore++;
      soundSentBefore += sent ? 1 : 0;
    } else if (nowMs > judgedFromMs + 2 * STABLE_MS) {
      soundAfter++;
      soundSentAfter += sent ? 1 : 0;
    }
  }

  /** Sends a request to an endpoint that is up; the instance learns of those that are down. */
  private boolean send(Request request, int instance) {
    for (int attempt = 0; attempt < ENDPOINTS; attempt++) {
      int e = random.nextInt(ENDPOINTS);
      if (avoidedUntilMs[instance][e] > nowMs) {
        continue;
      }
      if (downUntilMs[e] > nowMs) {
        detectors[instance].endpointDown(incarnations[e].identity(), nanos());
        avoidedUntilMs[instance][e] = nowMs + AVOID_DOWN_ENDPOINT_MS;
        continue;
      }
      boolean judged = crashes >= CRASHES_BEFORE_JUDGING && nowMs > judgedFromMs + STABLE_MS;
      if (request.deadly() && judged) {
        deadlySentAfter++;
      }
      int beginsMs = nowMs + 50 + random.nextInt(400);
      running.get(e).add(new Running(request, instance, beginsMs, beginsMs + 1_500));
      return true;
    }
    return false;
  }

  private void run(int e) {
    for (Running attempt : List.copyOf(running.get(e))) {
      if (attempt.request().deadly() && nowMs >= attempt.beginsMs()) {
        crash(e);
        return;
      }
      if (nowMs >= attempt.endsMs()) {
        running.get(e).remove(attempt);
        detectors[attempt.instance()].answered(attempt.request().keys(), nanos());
      }
    }
  }

  private void crash(int e) {
    crashes++;
    if (crashes <= CRASHES_BEFORE_JUDGING) {
      judgedFromMs = nowMs;
    }
    downUntilMs[e] = nowMs + RESTART_MS;
    List<Running> lost = List.copyOf(running.get(e));
    running.get(e).clear();
    for (Running attempt : lost) {
      if (nowMs >= attempt.beginsMs() && !attempt.request().deadly()) {
        continue;
      }
      Request request = attempt.request();
      CrashDetector detector = detectors[attempt.instance()];
      detector.connectionLost(request.keys(), incarnations[e], nanos());
      if (request.attempt() < MAXIMUM_ATTEMPTS && !detector.isBlocked(request.keys())) {
        send(
            new Request(request.keys(), request.deadly(), request.attempt() + 1),
            attempt.instance());
      }
    }
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }
}
