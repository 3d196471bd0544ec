package org.magnoliavale.internal.quota;

import java.time.Duration;
import org.magnoliavale.internal.limit.DecayingRate;

/**
 * What callers ask for, in units a second. A slow mean, which few large requests do not shake,
 * until the fast one shows that the demand has changed. Not thread-safe.
 */
final class DemandEstimate {
  private static final Duration SLOW_MEAN_AGE = Duration.ofSeconds(12);
  private static final Duration FAST_MEAN_AGE = Duration.ofSeconds(1);
  private static final double FAST_SECONDS = 1;

  /** Deviation of the fast mean, in standard deviations, from which the demand has changed. */
  private static final double SIGNIFICANT = 3;

  private final DecayingRate slow = new DecayingRate(SLOW_MEAN_AGE);
  private final DecayingRate fast = new DecayingRate(FAST_MEAN_AGE);

  /** Mean of squares, for the usual size of a request. */
  private final DecayingRate squares = new DecayingRate(SLOW_MEAN_AGE);

  void record(double units, long nowNanos) {
    slow.record(units, nowNanos);
    fast.record(units, nowNanos);
    squares.record(units * units, nowNanos);
  }

  double perSecond(long nowNanos) {
    double usual = slow.perSecond(nowNanos);
    double latest = fast.perSecond(nowNanos);
    if (usual <= 0) {
      return 0;
    }
    double meanSquare = squares.perSecond(nowNanos);
    double deviation = Math.sqrt(meanSquare / (2 * FAST_SECONDS));
    double singleRequest = meanSquare / usual / FAST_SECONDS;
    boolean changed = Math.abs(latest - usual) > SIGNIFICANT * deviation + singleRequest;
    return changed ? latest : usual;
  }
}
