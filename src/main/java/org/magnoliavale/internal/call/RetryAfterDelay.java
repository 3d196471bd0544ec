package org.magnoliavale.internal.call;

import java.time.Duration;

/**
 * The Retry-After delay of rejected calls.
 *
 * @param minimum the delay without jitter
 * @param spreadAtLimit whether delays that the caller's time limits are spread below the limit
 */
record RetryAfterDelay(Duration minimum, boolean spreadAtLimit) {
  /** The endpoints were full; slots become free continuously. */
  static final RetryAfterDelay FULL = new RetryAfterDelay(Duration.ofMillis(400), false);

  /** The model must be loaded first. */
  static final RetryAfterDelay LOAD = new RetryAfterDelay(Duration.ofMillis(3_000), false);

  /** Maximum jitter as a share of the delay, so that callers do not all retry at the same time. */
  private static final double MAXIMUM_JITTER_SHARE = 0.5;

  /**
   * Maximum delay as a share of the caller's remaining time. Callers ignore a delay of more than a
   * third.
   */
  private static final double MAXIMUM_TIME_SHARE = 0.32;

  private static final int JITTER_STEPS = 64;

  /** Returns the delay until endpoints that take no request now may take one. */
  static RetryAfterDelay atLeast(Duration time) {
    return time.compareTo(FULL.minimum) > 0 ? new RetryAfterDelay(time, false) : FULL;
  }

  /**
   * Returns the delay until the calls that wait now have been served. Many callers may be told so
   * at once; those whose time limits the delay don't come back at the same moment.
   */
  static RetryAfterDelay whenRoom(Duration time) {
    Duration minimum = time.compareTo(FULL.minimum) > 0 ? time : FULL.minimum;
    return new RetryAfterDelay(minimum, true);
  }

  /**
   * Returns the delay for a call. The jitter is derived from the call's id.
   *
   * @param timeRemaining the caller's remaining time, which limits the delay
   */
  Duration of(String callId, Duration timeRemaining) {
    double jitter = Math.floorMod(callId.hashCode(), JITTER_STEPS) / (double) JITTER_STEPS;
    double delayMs = minimum.toMillis() * (1 + MAXIMUM_JITTER_SHARE * jitter);
    double limitMs = timeRemaining.toMillis() * MAXIMUM_TIME_SHARE;
    if (spreadAtLimit && delayMs > limitMs) {
      delayMs = limitMs * (1 - MAXIMUM_JITTER_SHARE * jitter);
    }
    return Duration.ofMillis((long) Math.min(delayMs, limitMs));
  }
}
