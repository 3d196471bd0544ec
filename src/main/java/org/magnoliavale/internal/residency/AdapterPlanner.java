package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * Plans the placement of adapters. An adapter is loaded on a replica of its base model when
 * requests wait for it, and on a further replica when all its current holders are saturated and
 * another replica is not.
 */
final class AdapterPlanner {
  /** Saturation of the least saturated holder from which on a further replica is added. */
  private static final double SATURATION_THRESHOLD = 0.2;

  /** Minimum reduction of saturation that justifies a command. */
  private static final double MINIMUM_SATURATION_REDUCTION = 0.15;

  /** Requests per second below which an adapter gets no further replica. */
  private static final double MINIMUM_SPREAD_RATE = 0.2;

  private final List<EndpointView> views;
  private final Map<Artifact, ArtifactUse> uses;
  private final Set<String> plannedEndpoints;
  private final List<ResidencyPlanner.Step> steps;

  private AdapterPlanner(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Set<String> plannedEndpoints,
      List<ResidencyPlanner.Step> steps) {
    this.views = views;
    this.uses = uses;
    this.plannedEndpoints = plannedEndpoints;
    this.steps = steps;
  }

  /**
   * Returns a planner that appends to a plan in progress.
   *
   * @param plannedEndpoints ids of endpoints that already have a step in this plan; the planner
   *     adds to it
   * @param steps the plan; the planner appends to it
   */
  static AdapterPlanner of(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Set<String> plannedEndpoints,
      List<ResidencyPlanner.Step> steps) {
    return new AdapterPlanner(views, uses, plannedEndpoints, steps);
  }

  /** Loads adapters that requests wait for and that no endpoint holds. */
  void loadMissing() {
    List<Artifact> missing = new ArrayList<>();
    uses.forEach(
        (artifact, use) -> {
          if (artifact.adapter().isPresent() && use.waiting() > 0 && !isHeldAnywhere(artifact)) {
            missing.add(artifact);
          }
        });
    missing.sort(
        Comparator.comparingInt((Artifact artifact) -> -uses.get(artifact).waiting())
            .thenComparing(Artifact::toString));
    missing.forEach(adapter -> place(adapter, 1, "requests are waiting"));
  }

  private boolean isHeldAnywhere(Artifact artifact) {
    return views.stream().anyMatch(view -> view.holds(artifact));
  }

  /** Loads adapters whose holders are saturated on a further replica of their base model. */
  void spreadSaturated() {
    List<Artifact> busy = new ArrayList<>();
    uses.forEach(
        (artifact, use) -> {
          if (artifact.adapter().isPresent() && use.perSecond() >= MINIMUM_SPREAD_RATE) {
            busy.add(artifact);
          }
        });
    busy.sort(
        Comparator.comparingDouble((Artifact artifact) -> -uses.get(artifact).perSecond())
            .thenComparing(Artifact::toString));
    for (Artifact adapter : busy) {
      double minimumSaturation =
          views.stream()
              .filter(view -> view.holds(adapter))
              .mapToDouble(EndpointView::saturation)
              .min()
              .orElse(0);
      if (minimumSaturation >= SATURATION_THRESHOLD) {
        place(
            adapter, minimumSaturation - MINIMUM_SATURATION_REDUCTION, "all holders are saturated");
      }
    }
  }

  private void place(Artifact adapter, double maximumSaturation, String reason) {
    EndpointView best = null;
    for (EndpointView view : views) {
      boolean eligible =
          view.isReady(adapter.baseModel())
              && !view.artifacts().contains(adapter)
              && !view.busy()
              && !plannedEndpoints.contains(view.id())
              && view.saturation() <= maximumSaturation
              && (view.fits(adapter) || leastUsed(view).isPresent());
      if (eligible && (best == null || preference(adapter).compare(view, best) < 0)) {
        best = view;
      }
    }
    if (best == null) {
      return;
    }
    plannedEndpoints.add(best.id());
    if (best.fits(adapter)) {
      steps.add(step(best, EndpointCommand.Operation.LOAD, adapter, reason));
    } else {
      Artifact victim = leastUsed(best).orElseThrow();
      steps.add(step(best, EndpointCommand.Operation.UNLOAD, victim, "evicted for " + adapter));
    }
  }

  /** Orders candidate endpoints for an adapter, the best one first. */
  private static Comparator<EndpointView> preference(Artifact adapter) {
    return Comparator.comparing((EndpointView view) -> !view.fits(adapter))
        .thenComparingDouble(EndpointView::saturation)
        .thenComparingInt(view -> view.adapters().size());
  }

  private static ResidencyPlanner.Step step(
      EndpointView view, EndpointCommand.Operation operation, Artifact artifact, String reason) {
    return new ResidencyPlanner.Step(view, operation, artifact, Optional.empty(), reason);
  }

  /**
   * Returns the least requested adapter that no request waits for. Empty while another adapter is
   * being unloaded.
   */
  private Optional<Artifact> leastUsed(EndpointView view) {
    if (view.unloading().stream().anyMatch(artifact -> artifact.adapter().isPresent())) {
      return Optional.empty();
    }
    return view.adapters().stream()
        .filter(view::isReady)
        .filter(adapter -> uses.getOrDefault(adapter, ArtifactUse.NONE).waiting() == 0)
        .min(
            Comparator.comparingDouble(
                    (Artifact adapter) -> uses.getOrDefault(adapter, ArtifactUse.NONE).perSecond())
                .thenComparing(Artifact::toString));
  }
}
