package org.magnoliavale.internal.lease;

import java.time.Duration;

/**
 * Timing of a lease.
 *
 * @param durationMs how long a renewal is valid, in milliseconds
 * @param clockDriftMs margin for clocks that run at different rates, in milliseconds
 */
public record LeaseTimes(long durationMs, long clockDriftMs) {
  private static final int RENEWALS_PER_LEASE = 3;
  private static final long RETRY_DELAY_MS = 250;

  /**
   * Returns the timing for a lease duration and clock drift.
   *
   * @throws IllegalArgumentException unless the lease duration exceeds twice the clock drift
   */
  public static LeaseTimes of(Duration duration, Duration clockDrift) {
    if (clockDrift.plus(clockDrift).compareTo(duration) >= 0) {
      throw new IllegalArgumentException("lease duration must exceed twice the clock drift");
    }
    return new LeaseTimes(duration.toMillis(), clockDrift.toMillis());
  }

  /** Returns the time between renewals, and between reads of a lease that another holds. */
  long renewalIntervalMs() {
    return durationMs / RENEWALS_PER_LEASE;
  }

  /** Returns the time for which a holder may act after it started to send a renewal. */
  long holderValidityMs() {
    return durationMs - clockDriftMs;
  }

  /** Returns the time without a renewal after which another instance may acquire the lease. */
  long takeoverDelayMs() {
    return durationMs + clockDriftMs;
  }

  long retryDelayMs() {
    return RETRY_DELAY_MS;
  }
}
