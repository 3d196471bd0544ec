package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

/**
 * Plays streams at endpoints that pause, refuse and break off in random orders, on a virtual clock.
 */
class PausingEndpointsTest extends CallFixture {
  private static final int SEEDS = 400;
  private static final int EVENTS = 12;
  private static final int STEP_MS = 50;
  private static final int DEADLINE_MS = 4_000;
  private static final int MAXIMUM_RUNS = 2;

  private int stepsWithTwoOpen;
  private int wholeStreams;

  /** An endpoint's side of an attempt. */
  private static final class SimulatedRun {
    private final ScriptedConnector.Sent sent;
    private final Random random;
    private int nextEvent;
    private int pausedMs;
    private boolean begun;
    private boolean ended;

    SimulatedRun(ScriptedConnector.Sent sent, Random random) {
      this.sent = sent;
      this.random = random;
      String resumedAfter = sent.request().headers().get("Last-Event-Id");
      nextEvent = resumedAfter == null ? 1 : Integer.parseInt(resumedAfter) + 1;
      pausedMs = random.nextInt(300);
    }

    boolean isOpen() {
      return !ended && !sent.isCancelled();
    }

    void step() {
      pausedMs -= STEP_MS;
      if (!isOpen() || pausedMs > 0) {
        return;
      }
      if (!begun) {
        begin();
      } else if (nextEvent > EVENTS) {
        ended = true;
        sent.listener().onCompleted();
      } else {
        goOn();
      }
    }

    private void begin() {
      if (random.nextInt(3) == 0) {
        ended = true;
        refuseOrFail();
      } else {
        begun = true;
        sent.beginChunked();
      }
    }

    private void refuseOrFail() {
      switch (random.nextInt(4)) {
        case 0 -> sent.respondNotExecuted(503);
        case 1 -> sent.respondNotExecuted(421);
        case 2 -> sent.failBeforeSend();
        default -> sent.respond(500, "error\n\n");
      }
    }

    private void goOn() {
      sent.content(event(nextEvent));
      nextEvent++;
      pausedMs = random.nextInt(8) == 0 ? 1_000 + random.nextInt(1_200) : random.nextInt(100);
    }
  }

  private static String event(int number) {
    return "id: " + number + "\ndata: piece " + number + "\n\n";
  }

  private static String events(int count) {
    StringBuilder text = new StringBuilder();
    for (int number = 1; number <= count; number++) {
      text.append(event(number));
    }
    return text.toString();
  }

  /**
   * Guards against streams that lose, repeat or mix pieces, or are cut off while one is at work.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void streamsAreWholeAndOnlyEndedWhenNoEndpointIsAtWork(boolean stopping) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      play(seed, stopping);
    }
    assertThat(stepsWithTwoOpen).as("steps with two open attempts").isGreaterThan(SEEDS);
    assertThat(wholeStreams).as("whole streams").isGreaterThan(SEEDS / 2);
  }

  private void play(int seed, boolean stopping) {
    Random random = new Random(seed);
    now += TimeUnit.SECONDS.toNanos(20);
    start();
    updateEndpoints(
        TestEntries.entry("a" + seed, 1, "m"),
        TestEntries.entry("b" + seed, 1, "m"),
        TestEntries.entry("c" + seed, 1, "m"));
    caller = new RecordingCaller();
    connector.sent().clear();
    List<SimulatedRun> runs = new ArrayList<>();
    call("/stream/x");
    for (int elapsed = 0; elapsed < DEADLINE_MS - STEP_MS; elapsed += STEP_MS) {
      advance(STEP_MS);
      if (stopping && elapsed == DEADLINE_MS / 4) {
        calls.rejectCallsAfter(now + TimeUnit.SECONDS.toNanos(5));
      }
      while (runs.size() < connector.sent().size()) {
        runs.add(new SimulatedRun(connector.sent().get(runs.size()), random));
      }
      runs.forEach(SimulatedRun::step);
      long open = runs.stream().filter(SimulatedRun::isOpen).count();
      assertThat(open).as("open attempts, seed %d", seed).isLessThanOrEqualTo(2);
      stepsWithTwoOpen += open == 2 ? 1 : 0;
      assertThat(runs.stream().filter(run -> run.begun).count())
          .as("runs, seed %d", seed)
          .isLessThanOrEqualTo(MAXIMUM_RUNS);
      checkPieces(seed);
    }
    advance(2 * STEP_MS);
    assertThat(runs.stream().filter(SimulatedRun::isOpen)).as("left, seed %d", seed).isEmpty();
    assertThat(caller.ending()).as("seed %d", seed).isNotEqualTo("open");
    assertThat(calls.size()).isZero();
    wholeStreams += caller.ending().equals("finished") ? 1 : 0;
  }

  private void checkPieces(int seed) {
    if (caller.status() != 200) {
      return;
    }
    // A run that has begun never breaks off by itself here.
    assertThat(caller.ending()).as("begun stream, seed %d", seed).isNotEqualTo("aborted");
    String body = caller.body();
    int count = body.split("\n\n", -1).length - 1;
    assertThat(body).as("pieces, seed %d", seed).isEqualTo(events(count));
    if (caller.ending().equals("finished")) {
      assertThat(count).as("pieces of a whole stream, seed %d", seed).isEqualTo(EVENTS);
    }
  }
}
