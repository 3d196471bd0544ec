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
import org.magnoliavale.internal.placement.Workspace.PlannedEndpoint;

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
    Workspace workspace = new Workspace(input);
    UtilisationEstimate estimate = UtilisationEstimate.of(workspace);
    for (Model model : input.models()) {
      List<PlannedEndpoint> holders = workspace.holders(model.weights());
      boolean overloaded =
          !holders.isEmpty()
              && input.demandOf(model.id()) > 0
              && holders.stream().allMatch(endpoint -> estimate.excess(endpoint) > 0);
      if (overloaded) {
        addReplica(workspace, model);
      }
    }
    return workspace.moves();
  }

  private void addReplica(Workspace workspace, Model model) {
    Optional<PlannedEndpoint> endpoint =
        workspace.usable().stream()
            .filter(other -> !other.snapshot().artifacts().containsKey(model.weights()))
            .filter(other -> !other.holds(model.weights()))
            .max(
                Comparator.comparingLong(PlannedEndpoint::freeBytes)
                    .thenComparing(PlannedEndpoint::id));
    if (endpoint.isEmpty()) {
      return;
    }
    if (endpoint.get().freeBytes() >= model.bytesWithAdapters()) {
      workspace.load(model.weights(), endpoint.get(), model.bytes(), Reason.DEMAND);
      return;
    }
    endpoint.get().snapshot().artifacts().keySet().stream()
        .filter(artifact -> artifact.adapter() == null && endpoint.get().isReady(artifact))
        .filter(artifact -> isSurplus(workspace, artifact))
        .min(Comparator.comparingLong(artifact -> lastUsed.getOrDefault(artifact.model(), 0L)))
        .ifPresent(artifact -> workspace.unload(artifact, endpoint.get(), Reason.MAKE_ROOM));
  }

  private static boolean isSurplus(Workspace workspace, ArtifactId artifact) {
    return workspace
        .model(artifact.model())
        .map(model -> workspace.readyHolders(artifact) > model.minimumReplicas())
        .orElse(true);
  }
}
