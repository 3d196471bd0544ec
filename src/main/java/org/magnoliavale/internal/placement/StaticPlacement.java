package org.magnoliavale.internal.placement;

import java.util.Comparator;
import java.util.List;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.PlacementRound.PlannedEndpoint;

/** Baseline policy for experiments: brings each model to its minimum replicas and moves nothing. */
public final class StaticPlacement implements PlacementPolicy {
  @Override
  public List<Move> plan(PlacementInput input) {
    PlacementRound round = new PlacementRound(input);
    for (Model model : input.models()) {
      int missing = model.minimumReplicas() - round.holders(model.weights()).size();
      for (int i = 0; i < missing; i++) {
        round.usable().stream()
            .filter(endpoint -> !endpoint.snapshot().artifacts().containsKey(model.weights()))
            .filter(endpoint -> !endpoint.holds(model.weights()))
            .filter(endpoint -> endpoint.freeBytes() >= model.bytesWithAdapters())
            .max(
                Comparator.comparingLong(PlannedEndpoint::freeBytes)
                    .thenComparing(PlannedEndpoint::id))
            .ifPresent(
                endpoint ->
                    round.load(model.weights(), endpoint, model.bytes(), Reason.MISSING_REPLICA));
      }
    }
    return round.moves();
  }
}
