package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.PlacementRound.PlannedEndpoint;

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
    PlacementRound round = new PlacementRound(input);
    removeSurplus(round);
    addMissing(round);
    return round.moves();
  }

  private static int target(PlacementRound round, Model model) {
    PlacementInput input = round.input();
    double total = input.models().stream().mapToDouble(other -> input.demandOf(other.id())).sum();
    if (total == 0) {
      return model.minimumReplicas();
    }
    long totalBytes =
        round.usable().stream()
            .mapToLong(endpoint -> endpoint.snapshot().endpoint().artifactCapacityBytes())
            .sum();
    double share = input.demandOf(model.id()) / total;
    int replicas = (int) Math.round(share * totalBytes / model.bytesWithAdapters());
    return Math.clamp(replicas, model.minimumReplicas(), round.usable().size());
  }

  private static void removeSurplus(PlacementRound round) {
    for (Model model : round.input().models()) {
      ArtifactId weights = model.weights();
      List<PlannedEndpoint> holders = round.holders(weights);
      int surplus = holders.size() - target(round, model);
      for (PlannedEndpoint endpoint : holders) {
        boolean removable = round.readyHolders(weights) > model.minimumReplicas();
        if (surplus > 0 && removable && endpoint.isReady(weights)) {
          round.unload(weights, endpoint, Reason.DEMAND);
          surplus--;
        }
      }
    }
  }

  private static void addMissing(PlacementRound round) {
    for (Model model : round.input().models()) {
      ArtifactId weights = model.weights();
      int missing = target(round, model) - round.holders(weights).size();
      for (int i = 0; i < missing; i++) {
        round.usable().stream()
            .filter(endpoint -> !endpoint.snapshot().artifacts().containsKey(weights))
            .filter(endpoint -> !endpoint.holds(weights))
            .filter(endpoint -> endpoint.freeBytes() >= model.bytesWithAdapters())
            .max(
                Comparator.comparingLong(PlannedEndpoint::freeBytes)
                    .thenComparing(PlannedEndpoint::id))
            .ifPresent(endpoint -> round.load(weights, endpoint, model.bytes(), Reason.DEMAND));
      }
    }
  }
}
