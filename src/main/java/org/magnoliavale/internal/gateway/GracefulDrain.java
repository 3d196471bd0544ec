package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.magnoliavale.internal.call.CallRegistry;

/**
 * Drains an instance after its stop signal: the load balancer is given time to notice, calls in
 * progress finish, and new calls are rejected in phases. It ends when nothing is in progress, at
 * the latest shortly before the process is killed.
 */
final class GracefulDrain {
  /** Minimum drain time, so that the load balancer notices that the instance is not ready. */
  private static final Duration MINIMUM_DRAIN_TIME = Duration.ofMillis(3_500);

  /** Part of the grace period that is reserved for process termination. */
  private static final Duration TERMINATION_RESERVE = Duration.ofMillis(400);

  /** Time after the stop signal at which new streams are rejected; they might not end in time. */
  private static final Duration STREAM_ACCEPT_PERIOD = Duration.ofMillis(2_900);

  /** Time after the stop signal at which all other new calls are rejected. */
  private static final Duration CALL_ACCEPT_PERIOD = Duration.ofMillis(5_500);

  /** Interval at which the drain checks for calls in progress. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  private final CallRegistry calls;
  private final Runnable closePort;
  private final LongSupplier nanoClock;
  private final LongConsumer sleepMilliseconds;

  /**
   * Returns a drain.
   *
   * @param calls the calls of the instance
   * @param closePort closes the listening socket for callers
   * @param nanoClock monotonic time in nanoseconds
   * @param sleepMilliseconds waits for so many milliseconds
   */
  GracefulDrain(
      CallRegistry calls,
      Runnable closePort,
      LongSupplier nanoClock,
      LongConsumer sleepMilliseconds) {
    this.calls = calls;
    this.closePort = closePort;
    this.nanoClock = nanoClock;
    this.sleepMilliseconds = sleepMilliseconds;
  }

  /**
   * Drains the instance; returns when it may end.
   *
   * @param startNanos time of the stop signal
   * @param gracePeriod time from the stop signal until the process is killed
   */
  void run(long startNanos, Duration gracePeriod) {
    await(startNanos, STREAM_ACCEPT_PERIOD);
    calls.rejectStreams();
    await(startNanos, CALL_ACCEPT_PERIOD);
    // Once the port is closed, a refused connection tells callers that no request was read.
    closePort.run();
    calls.rejectAll();
    await(startNanos, gracePeriod.minus(TERMINATION_RESERVE));
  }

  /** Waits until the instance is drained, for at most {@code limit} after the stop signal. */
  private void await(long startNanos, Duration limit) {
    while (!isDrained(startNanos) && elapsed(startNanos) < limit.toNanos()) {
      sleepMilliseconds.accept(CHECK_INTERVAL.toMillis());
    }
  }

  private boolean isDrained(long startNanos) {
    return elapsed(startNanos) >= MINIMUM_DRAIN_TIME.toNanos() && calls.size() == 0;
  }

  private long elapsed(long startNanos) {
    return nanoClock.getAsLong() - startNanos;
  }
}
