package org.magnoliavale.internal.tenant;

import java.time.Duration;

/**
 * When this instance last knew that no newer configuration had taken a key away: it read the
 * configuration itself, or a peer that applies the same version did. Thread-safe.
 */
final class ConfigurationFreshness {
  private final long limitNanos;
  private volatile long confirmedNanos;
  private volatile boolean confirmed;

  ConfigurationFreshness(Duration limit) {
    this.limitNanos = limit.toNanos();
  }

  /** Records that the newest version was known to be the applied one at a time. */
  synchronized void confirm(long nanos) {
    if (!confirmed || nanos - confirmedNanos > 0) {
      confirmedNanos = nanos;
      confirmed = true;
    }
  }

  /** Returns whether a key may have been taken away longer ago than the limit. */
  boolean isStale(long nowNanos) {
    return !confirmed || nowNanos - confirmedNanos > limitNanos;
  }

  /** Returns the time since the last confirmation, in nanoseconds. */
  long ageNanos(long nowNanos) {
    return Math.max(0, nowNanos - confirmedNanos);
  }
}
