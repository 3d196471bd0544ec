package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.Workspace.Place;

/**
 * A baseline: aims at replicas in proportion to demand, without a price for moves. Every model
 * keeps the replicas it must have.
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
    double total = input.models().stream().mapToDouble(m -> input.demandOf(m.id())).sum();
    if (total == 0) {
      return model.minimumReplicas();
    }
    long room =
        workspace.usable().stream()
            .mapToLong(p -> p.placed().endpoint().artifactCapacityBytes())
            .sum();
    double share = input.demandOf(model.id()) / total;
    int replicas = (int) Math.round(share * room / model.bytesWithAdapters());
    return Math.clamp(replicas, model.minimumReplicas(), workspace.usable().size());
  }

  private static void removeSurplus(Workspace workspace) {
    for (Model model : workspace.input().models()) {
      ArtifactId weights = model.weights();
      List<Place> holders = workspace.holders(weights);
      int surplus = holders.size() - target(workspace, model);
      for (Place place : holders) {
        boolean spare = workspace.readyHolders(weights) > model.minimumReplicas();
        if (surplus > 0 && spare && place.isReady(weights)) {
          workspace.unload(weights, place, Reason.DEMAND);
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
            .filter(place -> !place.placed().artifacts().containsKey(weights))
            .filter(place -> !place.holds(weights))
            .filter(place -> place.freeBytes() >= model.bytesWithAdapters())
            .max(Comparator.comparingLong(Place::freeBytes).thenComparing(Place::id))
            .ifPresent(place -> workspace.load(weights, place, model.bytes(), Reason.DEMAND));
      }
    }
  }
}
