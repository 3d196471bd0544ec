package org.magnoliavale.internal.lease;

import java.util.concurrent.TimeUnit;

/**
 * How often a holder surrenders its epoch because an endpoint rejects it: at once, then at
 * intervals that double, until there was no rejection for long. Not thread-safe.
 */
final class FenceBackoff {
  private static final long SHORTEST_MS = TimeUnit.SECONDS.toMillis(3);
  private static final long LONGEST_MS = TimeUnit.MINUTES.toMillis(5);

  private long intervalMs;
  private long lastMs;

  /** Returns whether the epoch may be surrendered now, and counts it as surrendered if so. */
  boolean allows(long nowMs) {
    long passedMs = nowMs - lastMs;
    if (intervalMs > 0 && passedMs < intervalMs) {
      return false;
    }
    boolean quiet = intervalMs == 0 || passedMs > LONGEST_MS;
    intervalMs = quiet ? SHORTEST_MS : Math.min(LONGEST_MS, 2 * intervalMs);
    lastMs = nowMs;
    return true;
  }
}
