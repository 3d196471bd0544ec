package org.magnoliavale.internal.limit;

import java.util.concurrent.TimeUnit;

/** Requests a second, of which older ones count less. Not thread-safe. */
final class RequestRate {
  private static final double MEAN_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private double weight;
  private long nanos;

  void record(long nowNanos) {
    decay(nowNanos);
    weight++;
  }

  double perSecond(long nowNanos) {
    decay(nowNanos);
    return weight * NANOS_PER_SECOND / MEAN_AGE_NANOS;
  }

  private void decay(long nowNanos) {
    weight *= Math.exp(-Math.max(0, nowNanos - nanos) / MEAN_AGE_NANOS);
    nanos = nowNanos;
  }
}
