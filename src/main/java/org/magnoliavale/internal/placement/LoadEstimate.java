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
final class LoadEstimate {
  /** Utilisation up to which an endpoint answers nearly all requests in time. */
  static final double COMFORTABLE_SHARE = 0.95;

  /** Ratio of burst to typical demand; a model's demand varies by this factor within an hour. */
  private static final double BURST_FACTOR = 10;

  private final PlacementInput input;
  private final Map<EndpointId, Double> requestsPerSecond = new HashMap<>();

  private LoadEstimate(PlacementInput input) {
    this.input = input;
  }

  static LoadEstimate of(Workspace workspace) {
    LoadEstimate estimate = new LoadEstimate(workspace.input());
    for (Model model : workspace.input().models()) {
      estimate.spread(model, workspace.holders(model.weights()), 1);
    }
    return estimate;
  }

  /** Adds ({@code sign} 1) or subtracts ({@code sign} -1) a model's demand at its holders. */
  void spread(Model model, List<Workspace.Place> holders, int sign) {
    double demand = input.demandOf(model.id());
    double speed = holders.stream().mapToDouble(LoadEstimate::speed).sum();
    if (demand == 0 || speed == 0) {
      return;
    }
    for (Workspace.Place place : holders) {
      double share = sign * demand * speed(place) / speed;
      requestsPerSecond.merge(place.id(), share, Double::sum);
    }
  }

  /** Returns an endpoint's request rate as a fraction of its capacity. */
  double utilisation(Workspace.Place place) {
    return requestsPerSecond.getOrDefault(place.id(), 0.0) / capacity(place);
  }

  /** Returns the requests per second that the endpoint does not answer in time. */
  double excess(Workspace.Place place) {
    double load = requestsPerSecond.getOrDefault(place.id(), 0.0);
    return Math.max(0, load - COMFORTABLE_SHARE * capacity(place));
  }

  double excess(List<Workspace.Place> places) {
    return places.stream().mapToDouble(this::excess).sum();
  }

  /** Returns the requests per second that the holders do not answer in time during a burst. */
  double burstExcess(Model model, List<Workspace.Place> holders) {
    double speed = holders.stream().mapToDouble(LoadEstimate::speed).sum();
    double demand = input.demandOf(model.id());
    double spare = 0;
    for (Workspace.Place place : holders) {
      double own = demand * speed(place) / speed;
      double others = Math.max(0, requestsPerSecond.getOrDefault(place.id(), 0.0) - own);
      spare += Math.max(0, COMFORTABLE_SHARE * capacity(place) - others);
    }
    return Math.max(0, BURST_FACTOR * input.typicalDemandOf(model.id()) - spare);
  }

  private double capacity(Workspace.Place place) {
    return speed(place) / input.tokensPerRequest();
  }

  private static double speed(Workspace.Place place) {
    return place.placed().endpoint().tokensPerSecond();
  }
}
