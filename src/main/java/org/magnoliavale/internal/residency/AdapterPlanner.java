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
  private static final double CROWDED = 0.2;

  /** Minimum reduction of saturation that justifies a command. */
  private static final double RELIEF = 0.15;

  /** Requests per second below which an adapter gets no further replica. */
  private static final double SPREAD_RATE = 0.2;

  private final List<EndpointView> views;
  private final Map<Artifact, ArtifactUse> uses;
  private final Set<String> taken;
  private final List<ResidencyPlanner.Step> steps;

  private AdapterPlanner(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Set<String> taken,
      List<ResidencyPlanner.Step> steps) {
    this.views = views;
    this.uses = uses;
    this.taken = taken;
    this.steps = steps;
  }

  /**
   * Returns a planner that appends to a plan in progress.
   *
   * @param taken ids of endpoints that already have a step in this plan; the planner adds to it
   * @param steps the plan; the planner appends to it
   */
  static AdapterPlanner of(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Set<String> taken,
      List<ResidencyPlanner.Step> steps) {
    return new AdapterPlanner(views, uses, taken, steps);
  }

  /** Loads adapters that requests wait for and that no endpoint holds. */
  void placeMissing() {
    List<Artifact> wanted = new ArrayList<>();
    uses.forEach(
        (artifact, use) -> {
          if (artifact.adapter().isPresent() && use.waiting() > 0 && !isSomewhere(artifact)) {
            wanted.add(artifact);
          }
        });
    wanted.sort(
        Comparator.comparingInt((Artifact artifact) -> -uses.get(artifact).waiting())
            .thenComparing(Artifact::toString));
    wanted.forEach(adapter -> place(adapter, 1, "requests are waiting"));
  }

  private boolean isSomewhere(Artifact artifact) {
    return views.stream().anyMatch(view -> view.has(artifact));
  }

  /** Loads adapters whose holders are saturated on a further replica of their base model. */
  void spreadCrowded() {
    List<Artifact> busy = new ArrayList<>();
    uses.forEach(
        (artifact, use) -> {
          if (artifact.adapter().isPresent() && use.perSecond() >= SPREAD_RATE) {
            busy.add(artifact);
          }
        });
    busy.sort(
        Comparator.comparingDouble((Artifact artifact) -> -uses.get(artifact).perSecond())
            .thenComparing(Artifact::toString));
    for (Artifact adapter : busy) {
      double least =
          views.stream()
              .filter(view -> view.has(adapter))
              .mapToDouble(EndpointView::crowding)
              .min()
              .orElse(0);
      if (least >= CROWDED) {
        place(adapter, least - RELIEF, "all holders are saturated");
      }
    }
  }

  private void place(Artifact adapter, double mostCrowding, String reason) {
    EndpointView best = null;
    for (EndpointView view : views) {
      boolean able =
          view.isReady(adapter.base())
              && !view.artifacts().contains(adapter)
              && !view.busy()
              && !taken.contains(view.id())
              && view.crowding() <= mostCrowding
              && (view.fits(adapter) || leastUsed(view).isPresent());
      if (able && (best == null || order(adapter).compare(view, best) < 0)) {
        best = view;
      }
    }
    if (best == null) {
      return;
    }
    taken.add(best.id());
    if (best.fits(adapter)) {
      steps.add(step(best, EndpointOrder.Operation.LOAD, adapter, reason));
    } else {
      Artifact victim = leastUsed(best).orElseThrow();
      steps.add(step(best, EndpointOrder.Operation.UNLOAD, victim, "evicted for " + adapter));
    }
  }

  /** Orders candidate endpoints for an adapter, the best one first. */
  private static Comparator<EndpointView> order(Artifact adapter) {
    return Comparator.comparing((EndpointView view) -> !view.fits(adapter))
        .thenComparingDouble(EndpointView::crowding)
        .thenComparingInt(view -> view.adapters().size());
  }

  private static ResidencyPlanner.Step step(
      EndpointView view, EndpointOrder.Operation operation, Artifact artifact, String reason) {
    return new ResidencyPlanner.Step(view, operation, artifact, Optional.empty(), reason);
  }

  /**
   * Returns the least requested adapter that no request waits for. Empty while another adapter is
   * being unloaded.
   */
  private Optional<Artifact> leastUsed(EndpointView view) {
    if (view.leaving().stream().anyMatch(artifact -> artifact.adapter().isPresent())) {
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
