package org.magnoliavale.internal.lease;

import java.time.Duration;

/**
 * Timing of a lease.
 *
 * @param length how long a renewal is valid, in milliseconds
 * @param drift margin for clocks that run at different rates, in milliseconds
 */
public record LeaseTimes(long length, long drift) {
  private static final int RENEWALS_PER_LEASE = 3;
  private static final long RETRY_MS = 250;

  /**
   * Returns the timing for a lease duration and clock drift.
   *
   * @throws IllegalArgumentException unless the lease duration exceeds twice the clock drift
   */
  public static LeaseTimes of(Duration length, Duration drift) {
    if (drift.multipliedBy(2).compareTo(length) >= 0) {
      throw new IllegalArgumentException("lease duration must exceed twice the clock drift");
    }
    return new LeaseTimes(length.toMillis(), drift.toMillis());
  }

  /** Returns the time between renewals, and between reads of a lease that another holds. */
  long renewal() {
    return length / RENEWALS_PER_LEASE;
  }

  /** Returns the time for which a holder may act after it started to send a renewal. */
  long holderValidity() {
    return length - drift;
  }

  /** Returns the time without a renewal after which another instance may acquire the lease. */
  long watcherPatience() {
    return length + drift;
  }

  long retry() {
    return RETRY_MS;
  }
}
