package org.magnoliavale.internal.dispatch;

/**
 * A rising straight line through samples, of which newer ones weigh more. Before there are samples
 * it is an expected line, and a few samples move it only a little. Not thread-safe.
 */
final class LinearFit {
  /** Weight that a sample keeps at each later one. */
  private static final double RETAINED_WEIGHT = 0.997;

  /** Samples that weigh as much as the expected line. */
  private static final double EXPECTED_WEIGHT = 8;

  private final double expectedIntercept;
  private final double expectedSlope;
  private final double typicalX;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;

  /**
   * Returns a line without samples.
   *
   * @param expectedIntercept expected value at 0
   * @param expectedSlope expected rise of the value
   * @param typicalX a place at which samples are expected
   */
  LinearFit(double expectedIntercept, double expectedSlope, double typicalX) {
    this.expectedIntercept = expectedIntercept;
    this.expectedSlope = expectedSlope;
    this.typicalX = typicalX;
  }

  void add(double x, double y) {
    weight = weight * RETAINED_WEIGHT + 1;
    sumX = sumX * RETAINED_WEIGHT + x;
    sumY = sumY * RETAINED_WEIGHT + y;
    sumXx = sumXx * RETAINED_WEIGHT + x * x;
    sumXy = sumXy * RETAINED_WEIGHT + x * y;
  }

  /** Returns the weight of the samples; it grows with their number up to a bound. */
  double weight() {
    return weight;
  }

  /** Returns how much the value rises with {@code x}; not negative. */
  double slope() {
    double variance = weight == 0 ? 0 : sumXx - sumX * sumX / weight;
    double covariance = weight == 0 ? 0 : sumXy - sumX * sumY / weight;
    double expectedVariance = EXPECTED_WEIGHT * typicalX * typicalX;
    return Math.max(
        0, (covariance + expectedVariance * expectedSlope) / (variance + expectedVariance));
  }

  /** Returns the value at {@code x}; not negative. */
  double at(double x) {
    double total = weight + EXPECTED_WEIGHT;
    double expectedY = expectedIntercept + expectedSlope * typicalX;
    double meanX = (sumX + EXPECTED_WEIGHT * typicalX) / total;
    double meanY = (sumY + EXPECTED_WEIGHT * expectedY) / total;
    return Math.max(0, meanY + slope() * (x - meanX));
  }
}
