package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;

/**
 * Drains an instance after its stop signal.
 *
 * <p>At first all calls are taken, since the load balancer has not noticed the stop yet. Then only
 * those are taken whose deadline lies before the end of the process, so that none is cut off after
 * it was passed on. At last the port is closed and all new calls are rejected. The drain ends when
 * nothing is in progress, at the latest shortly before the process is killed.
 */
public final class GracefulDrain {
  private static final Logger LOG = Logs.of("instance");

  /** Minimum drain time, so that the load balancer notices that the instance is not ready. */
  private static final Duration MINIMUM_DRAIN_TIME = Duration.ofMillis(3_500);

  /**
   * Time for which all calls are taken: the load balancer needs 2 s to notice the stop, and a busy
   * machine may hand the signal over some hundred milliseconds late.
   */
  private static final Duration ACCEPT_PERIOD = Duration.ofMillis(2_500);

  /** Time before the process is killed at which all new calls are rejected. */
  private static final Duration REJECT_ALL_BEFORE_KILL = Duration.ofMillis(2_500);

  /** Part of the grace period that is reserved for process termination. */
  private static final Duration TERMINATION_RESERVE = Duration.ofMillis(400);

  /** Time before the end of the drain in which the last responses are written. */
  private static final Duration RESPONSE_RESERVE = Duration.ofMillis(100);

  /** Interval at which the drain checks for calls in progress. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  private final CallRegistry calls;
  private final IntSupplier requestsInProgress;
  private final Runnable closePort;
  private final LongSupplier nanoClock;
  private final LongConsumer sleepMilliseconds;

  /**
   * Returns a drain.
   *
   * @param calls the calls of the instance
   * @param requestsInProgress number of requests whose responses are not written completely
   * @param closePort closes the listening socket for callers
   * @param nanoClock monotonic time in nanoseconds
   * @param sleepMilliseconds waits for so many milliseconds
   */
  public GracefulDrain(
      CallRegistry calls,
      IntSupplier requestsInProgress,
      Runnable closePort,
      LongSupplier nanoClock,
      LongConsumer sleepMilliseconds) {
    this.calls = calls;
    this.requestsInProgress = requestsInProgress;
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
  public void run(long startNanos, Duration gracePeriod) {
    Duration end = gracePeriod.minus(TERMINATION_RESERVE);
    await(startNanos, shorter(ACCEPT_PERIOD, gracePeriod.minus(REJECT_ALL_BEFORE_KILL)));
    logPhase("Taking only calls that end in time.", startNanos);
    calls.rejectCallsAfter(startNanos + end.minus(RESPONSE_RESERVE).toNanos());
    await(startNanos, gracePeriod.minus(REJECT_ALL_BEFORE_KILL));
    // Once the port is closed, a refused connection tells callers that no request was read.
    logPhase("Closing the port and rejecting all calls.", startNanos);
    closePort.run();
    calls.rejectAll();
    await(startNanos, end);
  }

  /** Waits for some milliseconds, or until the thread is interrupted. */
  public static void sleep(long milliseconds) {
    try {
      TimeUnit.MILLISECONDS.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void logPhase(String phase, long startNanos) {
    LOG.infof(
        "%s calls=%d requests=%d stopping-ms=%d",
        phase,
        calls.size(),
        requestsInProgress.getAsInt(),
        TimeUnit.NANOSECONDS.toMillis(elapsed(startNanos)));
  }

  private static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  /** Waits until the instance is drained, for at most {@code limit} after the stop signal. */
  private void await(long startNanos, Duration limit) {
    while (!isDrained(startNanos) && elapsed(startNanos) < limit.toNanos()) {
      sleepMilliseconds.accept(CHECK_INTERVAL.toMillis());
    }
  }

  private boolean isDrained(long startNanos) {
    return elapsed(startNanos) >= MINIMUM_DRAIN_TIME.toNanos()
        && calls.size() == 0
        && requestsInProgress.getAsInt() == 0;
  }

  private long elapsed(long startNanos) {
    return nanoClock.getAsLong() - startNanos;
  }
}
