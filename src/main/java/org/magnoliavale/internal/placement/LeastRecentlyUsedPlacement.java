package org.magnoliavale.internal.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.PlacementRound.PlannedEndpoint;

/**
 * Baseline policy for experiments: gives a model whose replicas are all overloaded one more, and
 * evicts the least recently used surplus replica to make room for it.
 */
public final class LeastRecentlyUsedPlacement implements PlacementPolicy {
  private final PlacementPolicy required = new StaticPlacement();
  private final Map<ModelId, Long> lastUsed = new HashMap<>();
  private long rounds;

  @Override
  public List<Move> plan(PlacementInput input) {
    rounds++;
    for (Model model : input.models()) {
      if (input.demandOf(model.id()) > 0) {
        lastUsed.put(model.id(), rounds);
      }
    }
    List<Move> moves = required.plan(input);
    if (!moves.isEmpty()) {
      return moves;
    }
    PlacementRound round = new PlacementRound(input);
    UtilizationEstimate estimate = UtilizationEstimate.of(round);
    for (Model model : input.models()) {
      List<PlannedEndpoint> holders = round.holders(model.weights());
      boolean overloaded =
          !holders.isEmpty()
              && input.demandOf(model.id()) > 0
              && holders.stream().allMatch(endpoint -> estimate.excess(endpoint) > 0);
      if (overloaded) {
        addReplica(round, model);
      }
    }
    return round.moves();
  }

  private void addReplica(PlacementRound round, Model model) {
    Optional<PlannedEndpoint> endpoint =
        round.usable().stream()
            .filter(other -> !other.snapshot().artifacts().containsKey(model.weights()))
            .filter(other -> !other.holds(model.weights()))
            .max(
                Comparator.comparingLong(PlannedEndpoint::freeBytes)
                    .thenComparing(PlannedEndpoint::id));
    if (endpoint.isEmpty()) {
      return;
    }
    if (endpoint.get().freeBytes() >= model.bytesWithAdapters()) {
      round.load(model.weights(), endpoint.get(), model.bytes(), Reason.DEMAND);
      return;
    }
    endpoint.get().snapshot().artifacts().keySet().stream()
        .filter(artifact -> artifact.adapter() == null && endpoint.get().isReady(artifact))
        .filter(artifact -> isSurplus(round, artifact))
        .min(Comparator.comparingLong(artifact -> lastUsed.getOrDefault(artifact.model(), 0L)))
        .ifPresent(artifact -> round.unload(artifact, endpoint.get(), Reason.MAKE_ROOM));
  }

  private static boolean isSurplus(PlacementRound round, ArtifactId artifact) {
    return round
        .model(artifact.model())
        .map(model -> round.readyHolders(artifact) > model.minimumReplicas())
        .orElse(true);
  }
}
