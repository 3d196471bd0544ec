package org.magnoliavale.internal.limit;

import java.util.concurrent.TimeUnit;

/** Requests that may be sent now; they accrue at a rate up to a maximum. Not thread-safe. */
final class SavedRequests {
  /** Time for which a rate accrues. */
  private static final double MAXIMUM_SECONDS = 0.25;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private double saved;
  private double perSecond;
  private long nanos;

  /** Returns none saved, at a rate of 0. */
  SavedRequests(long nowNanos) {
    nanos = nowNanos;
  }

  /** Accrues at the last rate until now, and at another one from now on. */
  void setRate(double requestsPerSecond, long nowNanos) {
    accrue(nowNanos);
    perSecond = requestsPerSecond;
  }

  private void accrue(long nowNanos) {
    double maximum = Math.max(1, perSecond * MAXIMUM_SECONDS);
    saved = Math.min(maximum, saved + perSecond * (nowNanos - nanos) / NANOS_PER_SECOND);
    nanos = nowNanos;
  }

  /** Returns whether a request may be sent. */
  boolean isAvailable(long nowNanos) {
    accrue(nowNanos);
    return perSecond > 0 && saved >= 1;
  }

  void take() {
    saved--;
  }

  void giveBack() {
    saved++;
  }

  /** Returns the time until a request may be sent; infinite at a rate of 0. */
  double secondsToNext() {
    return perSecond > 0 ? Math.max(0, 1 - saved) / perSecond : Double.POSITIVE_INFINITY;
  }
}
