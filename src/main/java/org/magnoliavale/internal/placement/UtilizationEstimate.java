package org.magnoliavale.internal.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Estimates the request rate of each endpoint, assuming that the demand for a model is distributed
 * over its replicas in proportion to their speed.
 */
final class UtilizationEstimate {
  /**
   * Utilization up to which an endpoint answers nearly all requests in time. A limit of 0.8 hides
   * the differences between highly utilized endpoints.
   */
  static final double SUSTAINABLE_UTILIZATION = 0.95;

  /** Ratio of burst to typical demand; a model's demand varies by this factor within an hour. */
  private static final double BURST_FACTOR = 10;

  private final PlacementInput input;
  private final Map<EndpointId, Double> requestsPerSecond = new HashMap<>();

  private UtilizationEstimate(PlacementInput input) {
    this.input = input;
  }

  static UtilizationEstimate of(PlacementRound round) {
    UtilizationEstimate estimate = new UtilizationEstimate(round.input());
    for (Model model : round.input().models()) {
      estimate.distribute(model, round.holders(model.weights()), 1);
    }
    return estimate;
  }

  /** Adds ({@code sign} 1) or subtracts ({@code sign} -1) a model's demand at its holders. */
  void distribute(Model model, List<PlacementRound.PlannedEndpoint> holders, int sign) {
    double demand = input.demandOf(model.id());
    double speed = holders.stream().mapToDouble(UtilizationEstimate::speed).sum();
    if (demand == 0 || speed == 0) {
      return;
    }
    for (PlacementRound.PlannedEndpoint endpoint : holders) {
      double share = sign * demand * speed(endpoint) / speed;
      requestsPerSecond.merge(endpoint.id(), share, Double::sum);
    }
  }

  /** Returns an endpoint's request rate as a fraction of its capacity. */
  double utilization(PlacementRound.PlannedEndpoint endpoint) {
    return requestsPerSecond.getOrDefault(endpoint.id(), 0.0) / capacity(endpoint);
  }

  /** Returns the requests per second that the endpoint does not answer in time. */
  double excess(PlacementRound.PlannedEndpoint endpoint) {
    double load = requestsPerSecond.getOrDefault(endpoint.id(), 0.0);
    return Math.max(0, load - SUSTAINABLE_UTILIZATION * capacity(endpoint));
  }

  double excess(List<PlacementRound.PlannedEndpoint> endpoints) {
    return endpoints.stream().mapToDouble(this::excess).sum();
  }

  /** Returns the requests per second that the holders do not answer in time during a burst. */
  double burstExcess(Model model, List<PlacementRound.PlannedEndpoint> holders) {
    double speed = holders.stream().mapToDouble(UtilizationEstimate::speed).sum();
    double demand = input.demandOf(model.id());
    double spareCapacity = 0;
    for (PlacementRound.PlannedEndpoint endpoint : holders) {
      double own = demand * speed(endpoint) / speed;
      double others = Math.max(0, requestsPerSecond.getOrDefault(endpoint.id(), 0.0) - own);
      spareCapacity += Math.max(0, SUSTAINABLE_UTILIZATION * capacity(endpoint) - others);
    }
    return Math.max(0, BURST_FACTOR * input.typicalDemandOf(model.id()) - spareCapacity);
  }

  private double capacity(PlacementRound.PlannedEndpoint endpoint) {
    return speed(endpoint) / input.tokensPerRequest();
  }

  private static double speed(PlacementRound.PlannedEndpoint endpoint) {
    return endpoint.snapshot().endpoint().tokensPerSecond();
  }
}
