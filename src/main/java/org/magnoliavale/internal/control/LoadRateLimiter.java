package org.magnoliavale.internal.control;

import org.magnoliavale.internal.document.Pool;

/** Token bucket that limits how fast model loads start, so as not to overload the weight store. */
final class LoadRateLimiter {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private double availableTokens = -1;
  private long lastRefillMs;

  /** Takes a token and returns true, or returns false if no load may start now. */
  boolean tryAcquire(Pool pool, long nowMs) {
    if (availableTokens < 0) {
      availableTokens = pool.maximumConcurrentLoads();
      lastRefillMs = nowMs;
    }
    double refill = (nowMs - lastRefillMs) / MILLISECONDS_PER_SECOND * pool.loadsPerSecond();
    availableTokens =
        Math.min(pool.maximumConcurrentLoads(), availableTokens + Math.max(0, refill));
    lastRefillMs = nowMs;
    if (availableTokens < 1) {
      return false;
    }
    availableTokens -= 1;
    return true;
  }
}
