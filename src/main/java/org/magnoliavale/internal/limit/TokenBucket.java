package org.magnoliavale.internal.limit;

import java.util.concurrent.TimeUnit;

/**
 * Units that may be used now; they accrue at a rate up to a maximum. More may be taken than there
 * are; the debt is paid by what accrues. Not thread-safe.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private double saved;
  private double perSecond;
  private double maximum;
  private long nanos;

  /** Returns an empty bucket, at a rate of 0. */
  public TokenBucket(long nowNanos) {
    nanos = nowNanos;
  }

  /** Accrues at the last rate until now, and at another one, up to a maximum, from now on. */
  public void setRate(double unitsPerSecond, double maximumUnits, long nowNanos) {
    accrue(nowNanos);
    perSecond = unitsPerSecond;
    maximum = maximumUnits;
  }

  private void accrue(long nowNanos) {
    saved = Math.min(maximum, saved + perSecond * (nowNanos - nanos) / NANOS_PER_SECOND);
    nanos = nowNanos;
  }

  /** Returns the units that may be used; negative if there is a debt. */
  public double available(long nowNanos) {
    accrue(nowNanos);
    return saved;
  }

  /** Returns the units that accrue in a second. */
  public double perSecond() {
    return perSecond;
  }

  /** Takes units, also more than there are. */
  public void take(double units) {
    saved -= units;
  }

  /** Gives units back. */
  public void giveBack(double units) {
    saved += units;
  }

  /** Returns the time until there are so many units; infinite at a rate of 0. */
  public double secondsTo(double units) {
    return perSecond > 0 ? Math.max(0, units - saved) / perSecond : Double.POSITIVE_INFINITY;
  }
}
