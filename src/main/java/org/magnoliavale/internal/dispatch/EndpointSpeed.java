package org.magnoliavale.internal.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * How long work takes at one endpoint compared with its service, learned from its own work. Without
 * new work the figure goes back to that of the service, and the doubt grows. Not thread-safe.
 */
final class EndpointSpeed {
  /** Bounds of one comparison, so that a single pause does not count as much as a thousand. */
  private static final double MINIMUM_RATIO = 0.2;

  private static final double MAXIMUM_RATIO = 4;

  /** Weight of the service's own figure; that many comparisons count as much. */
  private static final double SERVICE_WEIGHT = 4;

  /** Weight that a comparison keeps at each later one of weight 1. */
  private static final double RETAINED_WEIGHT = 0.97;

  /** Time without work after which what was learned counts half. */
  private static final double HALF_LIFE_MS = 20_000;

  private double weight;
  private double sum;
  private long updatedNanos;

  /**
   * Records a time that was measured.
   *
   * @param expectedMs how long it takes at an endpoint of usual speed
   * @param sampleWeight how much it says about the endpoint; 1 for a whole prompt
   */
  void record(double measuredMs, double expectedMs, double sampleWeight, long nowNanos) {
    if (expectedMs <= 0) {
      return;
    }
    double retained = Math.pow(RETAINED_WEIGHT, sampleWeight) * retainedShare(nowNanos);
    double ratio = Math.clamp(measuredMs / expectedMs, MINIMUM_RATIO, MAXIMUM_RATIO);
    weight = weight * retained + sampleWeight;
    sum = sum * retained + sampleWeight * ratio;
    updatedNanos = nowNanos;
  }

  private double retainedShare(long nowNanos) {
    double idleMs = TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - updatedNanos));
    return weight == 0 ? 1 : Math.pow(0.5, idleMs / HALF_LIFE_MS);
  }

  /** Returns how many times as long as usual work takes: 1 as usual, 2 at half the speed. */
  double timeFactor(long nowNanos) {
    double share = retainedShare(nowNanos);
    return (sum * share + SERVICE_WEIGHT) / (weight * share + SERVICE_WEIGHT);
  }

  /** Returns how little is known of the endpoint, from 0 to 1 (nothing). */
  double doubt(long nowNanos) {
    return SERVICE_WEIGHT / (weight * retainedShare(nowNanos) + SERVICE_WEIGHT);
  }
}
