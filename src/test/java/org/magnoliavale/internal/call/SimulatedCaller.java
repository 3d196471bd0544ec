package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.magnoliavale.internal.route.Route;

/** A caller's side of a call, and what it was promised. */
final class SimulatedCaller {
  /** Time after its limit at which a call has certainly ended. */
  private static final long GRACE_NANOS = 500_000_000;

  private final String path;
  private final Route route;
  private final long deadlineNanos;
  private final RecordingCaller response;
  private final Runnable disconnect;
  private boolean left;
  private boolean endSeen;

  SimulatedCaller(
      String path, Route route, long deadlineNanos, RecordingCaller response, Runnable disconnect) {
    this.path = path;
    this.route = route;
    this.deadlineNanos = deadlineNanos;
    this.response = response;
    this.disconnect = disconnect;
  }

  boolean isOpen() {
    return response.ending().equals("open");
  }

  boolean isAnswered() {
    return response.status() == 200 && !isOpen() && !response.ending().equals("aborted");
  }

  /** Reads what has been written; a slow caller does so now and then. */
  void read() {
    if (response.hasWriteInProgress()) {
      response.completeWrite();
    }
  }

  void leave() {
    left = true;
    disconnect.run();
  }

  /** Checks that a tick ended no answer that had begun; {@code atWork} were open before it. */
  void checkTick(List<SimulatedAttempt> atWork, long now, String seed) {
    if (now < deadlineNanos && !left) {
      assertThat(own(atWork).stream().filter(SimulatedAttempt::hasBegun))
          .as("answers that have begun, %s %s", seed, path)
          .noneMatch(attempt -> attempt.sent().isCancelled());
    }
  }

  private List<SimulatedAttempt> own(List<SimulatedAttempt> attempts) {
    return attempts.stream()
        .filter(attempt -> attempt.sent().request().pathQuery().startsWith(path + "?"))
        .toList();
  }

  /** Checks what holds at any time; {@code atWork} are attempts that were open before this step. */
  void check(List<SimulatedAttempt> all, List<SimulatedAttempt> atWork, long now, String seed) {
    List<SimulatedAttempt> attempts = own(all);
    String what = seed + " " + path + " " + response.ending() + " " + response.status();
    if (now - deadlineNanos > GRACE_NANOS) {
      assertThat(isOpen()).as("unanswered after its time limit, %s", what).isFalse();
    }
    long runs = attempts.stream().filter(SimulatedAttempt::isRun).count();
    assertThat(runs).as("runs, %s", what).isLessThanOrEqualTo(route.maximumAttempts());
    if (!isOpen() && !endSeen) {
      endSeen = true;
      checkEnd(attempts, own(atWork), now, what);
    }
    if (!isOpen()) {
      assertThat(attempts.stream().filter(SimulatedAttempt::isOpen)).as("left, %s", what).isEmpty();
    }
  }

  private void checkEnd(
      List<SimulatedAttempt> attempts, List<SimulatedAttempt> atWork, long now, String what) {
    boolean early = now < deadlineNanos && !left;
    boolean failed = response.ending().equals("aborted") || response.status() >= 500;
    if (early && failed) {
      assertThat(atWork.stream().filter(attempt -> attempt.sent().isCancelled()))
          .as("sound attempts that were given up with the call, %s", what)
          .isEmpty();
    }
    if (response.status() == 503) {
      assertThat(attempts.stream().filter(SimulatedAttempt::isRun))
          .as("not run, %s", what)
          .isEmpty();
    }
    if (isAnswered()) {
      assertThat(response.body()).as("answer, %s", what).isEqualTo(expectedBody());
    }
  }

  private String expectedBody() {
    if (!path.startsWith("/stream/") && !path.startsWith("/once/")) {
      return SimulatedAttempt.wholeAnswer(path + "?x=1");
    }
    StringBuilder events = new StringBuilder();
    for (int number = 1; number <= SimulatedAttempt.EVENTS; number++) {
      events.append(SimulatedAttempt.event(number));
    }
    return events.toString();
  }
}
