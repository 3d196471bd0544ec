package org.magnoliavale.internal.link;

/**
 * Keeps two occurrences of something apart by a minimum time. Not thread-safe; times are in
 * nanoseconds of a monotonic clock.
 */
final class MinimumInterval {
  private final long intervalNanos;
  private boolean occurred;
  private long lastNanos;

  MinimumInterval(long intervalNanos) {
    this.intervalNanos = intervalNanos;
  }

  /** Returns the time until the next occurrence is allowed; 0 if it is allowed now. */
  long remainingNanos(long nowNanos) {
    return occurred ? Math.max(0, lastNanos + intervalNanos - nowNanos) : 0;
  }

  /** Records an occurrence. */
  void record(long nowNanos) {
    occurred = true;
    lastNanos = nowNanos;
  }
}
