package org.magnoliavale.internal.limit;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Units a second, of which older ones count less. Not thread-safe. */
public final class DecayingRate {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double meanAgeNanos;
  private double weight;
  private long nanos;

  /**
   * Returns a rate of 0.
   *
   * @param meanAge mean age of units that arrive evenly
   */
  public DecayingRate(Duration meanAge) {
    meanAgeNanos = meanAge.toNanos();
  }

  /** Records units. */
  public void record(double units, long nowNanos) {
    decay(nowNanos);
    weight += units;
  }

  /** Returns the units a second. */
  public double perSecond(long nowNanos) {
    decay(nowNanos);
    return weight * NANOS_PER_SECOND / meanAgeNanos;
  }

  private void decay(long nowNanos) {
    weight *= Math.exp(-Math.max(0, nowNanos - nanos) / meanAgeNanos);
    nanos = nowNanos;
  }
}
