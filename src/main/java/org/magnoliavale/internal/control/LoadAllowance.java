package org.magnoliavale.internal.control;

import org.magnoliavale.internal.document.Pool;

/** Token bucket that limits how fast model loads start, so as not to overload the weight store. */
final class LoadAllowance {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private double available = -1;
  private long lastMs;

  /** Takes a token and returns true, or returns false if no load may start now. */
  boolean trySpend(Pool pool, long nowMs) {
    if (available < 0) {
      available = pool.loadsAtOnce();
      lastMs = nowMs;
    }
    double earned = (nowMs - lastMs) / MILLISECONDS_PER_SECOND * pool.loadsPerSecond();
    available = Math.min(pool.loadsAtOnce(), available + Math.max(0, earned));
    lastMs = nowMs;
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
