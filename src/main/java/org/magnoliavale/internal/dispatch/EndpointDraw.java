package org.magnoliavale.internal.dispatch;

import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws one of several endpoints that could serve a request; those that cost much more than the
 * cheapest one rarely.
 *
 * <p>How much is much follows, for the part of the cost that depends on the load, from what the
 * other instances may have sent since the reports: all of them see the same costs, and together
 * must not send so much to the cheapest endpoint that it becomes the most expensive one.
 *
 * @param dataCentre the data centre of this instance
 * @param random source of the draws
 */
record EndpointDraw(String dataCentre, RandomGenerator random) {
  /** Difference in what is known of endpoints that makes one a third as likely as the other. */
  private static final double KNOWN_DIFFERENCE_MS = 10;

  /**
   * An endpoint that may get a request.
   *
   * @param state the endpoint
   * @param forecast what is expected there
   */
  record Candidate(EndpointState state, EndpointForecast forecast) {}

  Candidate draw(List<Candidate> candidates, SelectionCriteria criteria, long nowNanos) {
    List<EndpointCost> costs =
        candidates.stream()
            .map(
                candidate ->
                    EndpointCost.of(
                        candidate.state(), candidate.forecast(), criteria, dataCentre, nowNanos))
            .toList();
    double[] weights = weights(costs);
    double drawn = random.nextDouble() * Arrays.stream(weights).sum();
    int index = 0;
    while (index < weights.length - 1 && drawn >= weights[index]) {
      drawn -= weights[index];
      index++;
    }
    return candidates.get(index);
  }

  /** Returns how likely the endpoints are in proportion; the likeliest has its speed as weight. */
  private static double[] weights(List<EndpointCost> costs) {
    double least = costs.stream().mapToDouble(EndpointCost::loadMs).min().orElse(0);
    double[] exponents =
        costs.stream()
            .mapToDouble(
                cost ->
                    cost.knownMs() / KNOWN_DIFFERENCE_MS
                        + (cost.loadMs() - least) / cost.uncertaintyMs())
            .toArray();
    double lowest = Arrays.stream(exponents).min().orElse(0);
    double[] weights = new double[exponents.length];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = costs.get(i).speed() * Math.exp(lowest - exponents[i]);
    }
    return weights;
  }
}
