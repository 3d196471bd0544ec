package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.Workspace.PlannedEndpoint;

/**
 * Baseline policy for experiments: sizes the replicas of each model in proportion to its demand,
 * and ignores the cost of moves. Every model keeps its minimum number of replicas.
 */
public final class DemandProportionalPlacement implements PlacementPolicy {
  private final PlacementPolicy required = new StaticPlacement();

  @Override
  public List<Move> plan(PlacementInput input) {
    List<Move> moves = new ArrayList<>(required.plan(input));
    if (!moves.isEmpty()) {
      return moves;
    }
    Workspace workspace = new Workspace(input);
    removeSurplus(workspace);
    addMissing(workspace);
    return workspace.moves();
  }

  private static int target(Workspace workspace, Model model) {
    PlacementInput input = workspace.input();
    double total = input.models().stream().mapToDouble(other -> input.demandOf(other.id())).sum();
    if (total == 0) {
      return model.minimumReplicas();
    }
    long totalBytes =
        workspace.usable().stream()
            .mapToLong(endpoint -> endpoint.snapshot().endpoint().artifactCapacityBytes())
            .sum();
    double share = input.demandOf(model.id()) / total;
    int replicas = (int) Math.round(share * totalBytes / model.bytesWithAdapters());
    return Math.clamp(replicas, model.minimumReplicas(), workspace.usable().size());
  }

  private static void removeSurplus(Workspace workspace) {
    for (Model model : workspace.input().models()) {
      ArtifactId weights = model.weights();
      List<PlannedEndpoint> holders = workspace.holders(weights);
      int surplus = holders.size() - target(workspace, model);
      for (PlannedEndpoint endpoint : holders) {
        boolean removable = workspace.readyHolders(weights) > model.minimumReplicas();
        if (surplus > 0 && removable && endpoint.isReady(weights)) {
          workspace.unload(weights, endpoint, Reason.DEMAND);
          surplus--;
        }
      }
    }
  }

  private static void addMissing(Workspace workspace) {
    for (Model model : workspace.input().models()) {
      ArtifactId weights = model.weights();
      int missing = target(workspace, model) - workspace.holders(weights).size();
      for (int i = 0; i < missing; i++) {
        workspace.usable().stream()
            .filter(endpoint -> !endpoint.snapshot().artifacts().containsKey(weights))
            .filter(endpoint -> !endpoint.holds(weights))
            .filter(endpoint -> endpoint.freeBytes() >= model.bytesWithAdapters())
            .max(
                Comparator.comparingLong(PlannedEndpoint::freeBytes)
                    .thenComparing(PlannedEndpoint::id))
            .ifPresent(endpoint -> workspace.load(weights, endpoint, model.bytes(), Reason.DEMAND));
      }
    }
  }
}
