package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Stops an instance on a virtual clock while calls arrive. */
class GracefulDrainTest extends CallFixture {
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(8);

  private final Map<Long, Runnable> script = new TreeMap<>();
  private int requestsInProgress;
  private boolean portClosed;
  private long stopNanos;

  @BeforeEach
  void stopBeginsNow() {
    stopNanos = now;
  }

  private void atMs(long milliseconds, Runnable action) {
    script.put(milliseconds, action);
  }

  /** Runs the drain and the script; returns the milliseconds after which the instance may end. */
  private long drain(Duration gracePeriod) {
    new GracefulDrain(
            calls, () -> requestsInProgress, () -> portClosed = true, () -> now, this::sleep)
        .run(stopNanos, gracePeriod);
    return elapsedMs();
  }

  private void sleep(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
    script.entrySet().stream()
        .filter(entry -> entry.getKey() <= elapsedMs())
        .toList()
        .forEach(
            entry -> {
              script.remove(entry.getKey());
              entry.getValue().run();
            });
    calls.tick();
  }

  private long elapsedMs() {
    return TimeUnit.NANOSECONDS.toMillis(now - stopNanos);
  }

  private RecordingCaller order(long timeRemainingMs) {
    RecordingCaller orderCaller = new RecordingCaller();
    HttpFields fields =
        HttpFields.build()
            .put("X-Request-Attempt-Id", "id-" + elapsedMs() + "-" + timeRemainingMs)
            .put("X-Time-Remaining", Long.toString(timeRemainingMs));
    calls.begin(
        new CallRequest(
            "POST", "menus.example", "/unsafe/x", "/unsafe/x", fields, new byte[0], now),
        orderCaller);
    return orderCaller;
  }

  /**
   * Guards against an order that a stopping instance takes late, sends to an endpoint and cuts off
   * at its own end, although the endpoint would answer inside the order's deadline.
   */
  @Test
  void noCallThatIsTakenLateIsStillOpenAtTheEnd() {
    Map<Long, RecordingCaller> orders = new TreeMap<>();
    for (long ms = 3_000; ms < 7_600; ms += 200) {
      long sentMs = ms;
      atMs(sentMs, () -> orders.put(sentMs, order(4_000)));
    }
    drain(GRACE_PERIOD);
    assertThat(orders).hasSize(23);
    orders.forEach(
        (sentMs, orderCaller) ->
            assertThat(orderCaller.ending())
                .as("order sent at %d ms", sentMs)
                .isNotEqualTo("open"));
    assertThat(calls.size()).isZero();
  }

  /**
   * Guards against streams that are taken late and cut off at the end, when a busy machine hands
   * the signal over late: a caller counts the time of the stop from when the signal was sent.
   */
  @Test
  void signalThatIsHandledLateLeavesNoCallOpenThatWasSentThreeSecondsAfterIt() {
    long handledLateMs = 500;
    Map<Long, RecordingCaller> late = new TreeMap<>();
    for (long ms = 3_000 - handledLateMs + 1; ms < 7_600; ms += 50) {
      long sentMs = ms;
      atMs(sentMs, () -> late.put(sentMs, order(8_000)));
    }
    order(9_000);
    drain(GRACE_PERIOD);
    late.forEach(
        (sentMs, lateCaller) ->
            assertThat(lateCaller.ending()).as("sent at %d ms", sentMs).isNotEqualTo("open"));
  }

  @Nested
  class Calls {
    @Test
    void areRejectedIfTheirDeadlineLiesBeyondTheEnd() {
      order(8_000);
      atMs(5_200, () -> caller = order(4_000));
      drain(GRACE_PERIOD);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(connector.sent()).hasSize(1);
    }

    @Test
    void areTakenIfTheirDeadlineLiesBeforeTheEnd() {
      order(8_000);
      atMs(5_200, () -> caller = order(2_000));
      atMs(7_000, () -> connector.last().respond(200, "done"));
      drain(GRACE_PERIOD);
      assertThat(caller.body()).isEqualTo("done");
    }

    @Test
    void areTakenUntilTheLoadBalancerHasNoticedTheStop() {
      atMs(2_500, () -> caller = order(8_000));
      atMs(5_000, () -> connector.last().respond(200, "done"));
      assertThat(drain(GRACE_PERIOD)).isEqualTo(5_000);
      assertThat(caller.body()).isEqualTo("done");
    }

    @Test
    void areNotSentAgainIfTheyCannotEndInTime() {
      caller = order(8_000);
      atMs(5_000, () -> connector.last().respondNotExecuted(503));
      drain(GRACE_PERIOD);
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.status()).isEqualTo(503);
    }

    @Test
    void areRejectedAtOnceInTheLastPhase() {
      order(8_000);
      atMs(5_600, () -> caller = order(500));
      drain(GRACE_PERIOD);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(portClosed).isTrue();
    }
  }

  @Nested
  class GracePeriods {
    @Test
    void thatAreLongLetCallsFinish() {
      caller = order(9_000);
      atMs(8_500, () -> connector.last().respond(200, "done"));
      assertThat(drain(Duration.ofSeconds(20))).isEqualTo(8_500);
      assertThat(caller.body()).isEqualTo("done");
    }

    @Test
    void thatAreShortEndBeforeTheProcessIsKilled() {
      order(9_000);
      atMs(1_000, () -> caller = order(9_000));
      assertThat(drain(Duration.ofSeconds(2))).isLessThan(2_000);
      assertThat(caller.status()).isEqualTo(503);
    }
  }

  @Test
  void idleInstanceEndsOnceTheLoadBalancerHasNoticedTheStop() {
    assertThat(drain(GRACE_PERIOD)).isEqualTo(3_500);
    assertThat(portClosed).isTrue();
  }

  @Test
  void responseThatIsStillBeingWrittenDelaysTheEnd() {
    requestsInProgress = 1;
    atMs(6_000, () -> requestsInProgress = 0);
    assertThat(drain(GRACE_PERIOD)).isEqualTo(6_000);
  }
}
