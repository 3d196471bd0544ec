package org.magnoliavale.internal.lease;

import java.time.Duration;

/**
 * Times of a lease.
 *
 * @param length how long a renewal holds, in milliseconds
 * @param drift margin for clocks that run at different speeds, in milliseconds
 */
public record LeaseTimes(long length, long drift) {
  private static final int RENEWALS_PER_LEASE = 3;
  private static final long RETRY_MS = 250;

  /** Returns the times for these durations. */
  public static LeaseTimes of(Duration length, Duration drift) {
    if (drift.multipliedBy(2).compareTo(length) >= 0) {
      throw new IllegalArgumentException("a lease must be longer than twice the clock drift");
    }
    return new LeaseTimes(length.toMillis(), drift.toMillis());
  }

  /** Returns the time between renewals, and between two looks at another's lease. */
  long renewal() {
    return length / RENEWALS_PER_LEASE;
  }

  /** Returns the time for which a holder may act after it began to send a renewal. */
  long holderValidity() {
    return length - drift;
  }

  /** Returns the time for which a row must stay unchanged before another may take the lease. */
  long watcherPatience() {
    return length + drift;
  }

  long retry() {
    return RETRY_MS;
  }
}
