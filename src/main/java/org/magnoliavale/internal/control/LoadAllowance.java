package org.magnoliavale.internal.control;

import org.magnoliavale.internal.document.Pool;

/** Token bucket for model loads, sized to the weight store. */
final class LoadAllowance {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private double available = -1;
  private long lastMs;

  /** Tells whether a load may start now, and takes it. */
  boolean trySpend(Pool pool, long nowMs) {
    if (available < 0) {
      available = pool.maximumConcurrentLoads();
      lastMs = nowMs;
    }
    double earned = (nowMs - lastMs) / MILLISECONDS_PER_SECOND * pool.loadsPerSecond();
    available = Math.min(pool.maximumConcurrentLoads(), available + Math.max(0, earned));
    lastMs = nowMs;
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
