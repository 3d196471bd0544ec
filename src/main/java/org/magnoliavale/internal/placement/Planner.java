package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.PlacementRound.PlannedEndpoint;

/**
 * The placement policy of production instances. A round runs these steps in sequence:
 *
 * <ol>
 *   <li>Unload artifacts that the document no longer has; an old version goes once enough replicas
 *       of its successor are ready.
 *   <li>Bring every model to its minimum number of replicas, models without a replica first.
 *   <li>Load the adapters of ready models.
 *   <li>Unload each model from draining endpoints once it is ready elsewhere.
 *   <li>Add replicas where they answer more requests in time than a move costs, for the current
 *       demand or for expected bursts; see {@link ReplicaScaler}.
 * </ol>
 *
 * <p>A surplus replica stays until its memory is more valuable to another model, so that
 * fluctuating demand causes few moves.
 */
public final class Planner implements PlacementPolicy {
  @Override
  public List<Move> plan(PlacementInput input) {
    PlacementRound round = new PlacementRound(input);
    unloadObsolete(round);
    restoreReplicas(round);
    loadAdapters(round);
    unloadDrainingEndpoints(round);
    new ReplicaScaler(round).run();
    return round.moves();
  }

  private static void unloadObsolete(PlacementRound round) {
    for (PlannedEndpoint endpoint : round.endpoints()) {
      for (ArtifactId artifact : endpoint.snapshot().artifacts().keySet()) {
        if (endpoint.holds(artifact) && isObsolete(round, artifact)) {
          round.unload(artifact, endpoint, Reason.NOT_WANTED);
        }
      }
    }
  }

  /**
   * Tells whether an artifact is to be unloaded because of the document. An old version is kept
   * until enough replicas of the current one are ready, but only the newest one that is ready, so
   * that versions in quick succession do not fill the memory.
   */
  private static boolean isObsolete(PlacementRound round, ArtifactId artifact) {
    Optional<Model> model = round.model(artifact.model());
    if (model.isEmpty()) {
      return true;
    }
    if (artifact.version() == model.get().version()) {
      return artifact.adapter() != null && !model.get().adapters().contains(artifact.adapter());
    }
    boolean replaced = round.readyHolders(model.get().weights()) >= model.get().minimumReplicas();
    return replaced || artifact.version() != newestReadyOldVersion(round, model.get());
  }

  private static int newestReadyOldVersion(PlacementRound round, Model model) {
    int newest = 0;
    for (PlannedEndpoint endpoint : round.endpoints()) {
      for (ArtifactId other : endpoint.snapshot().artifacts().keySet()) {
        boolean old =
            other.model().equals(model.id())
                && other.adapter() == null
                && other.version() != model.version();
        if (old && endpoint.isReady(other)) {
          newest = Math.max(newest, other.version());
        }
      }
    }
    return newest;
  }

  private static void restoreReplicas(PlacementRound round) {
    List<Model> missing = new ArrayList<>();
    for (Model model : round.input().models()) {
      if (round.holders(model.weights()).size() < model.minimumReplicas()) {
        missing.add(model);
      }
    }
    missing.sort(
        Comparator.<Model>comparingInt(model -> round.holders(model.weights()).size())
            .thenComparing(
                Comparator.<Model>comparingDouble(model -> round.input().demandOf(model.id()))
                    .reversed())
            .thenComparing(Comparator.comparingLong(Model::bytesWithAdapters).reversed())
            .thenComparing(Model::id));
    for (Model model : missing) {
      int lacking = model.minimumReplicas() - round.holders(model.weights()).size();
      for (int i = 0; i < lacking; i++) {
        restoreReplica(round, model);
      }
    }
  }

  private static void restoreReplica(PlacementRound round, Model model) {
    Optional<PlannedEndpoint> endpoint =
        leastUtilizedEndpoint(round, UtilizationEstimate.of(round), model);
    if (endpoint.isPresent()) {
      round.load(model.weights(), endpoint.get(), model.bytes(), Reason.MISSING_REPLICA);
      return;
    }
    if (!MemoryReclaimer.freeMemory(round, model)) {
      round.decline(
          model.weights(), Reason.NO_ROOM, "needs " + model.bytesWithAdapters() + " bytes");
    }
  }

  /** Returns the least utilized endpoint with enough free memory for a model and its adapters. */
  private static Optional<PlannedEndpoint> leastUtilizedEndpoint(
      PlacementRound round, UtilizationEstimate estimate, Model model) {
    return round.usable().stream()
        .filter(endpoint -> !round.isAllocated(endpoint, model.weights()))
        .filter(endpoint -> endpoint.freeBytes() >= model.bytesWithAdapters())
        .min(
            Comparator.<PlannedEndpoint>comparingDouble(estimate::utilization)
                .thenComparing(Comparator.comparingLong(PlannedEndpoint::freeBytes).reversed())
                .thenComparing(PlannedEndpoint::id));
  }

  private static void loadAdapters(PlacementRound round) {
    for (Model model : round.input().models()) {
      for (PlannedEndpoint endpoint : round.holders(model.weights())) {
        if (endpoint.isReady(model.weights())) {
          loadAdapters(round, model, endpoint);
        }
      }
    }
  }

  private static void loadAdapters(PlacementRound round, Model model, PlannedEndpoint endpoint) {
    for (AdapterId adapter : model.adapters()) {
      ArtifactId artifact = new ArtifactId(model.id(), model.version(), adapter);
      if (round.isAllocated(endpoint, artifact)) {
        continue;
      }
      if (endpoint.unreservedBytes() >= model.adapterBytes()) {
        round.load(artifact, endpoint, model.adapterBytes(), Reason.MISSING_ADAPTER);
      } else {
        round.decline(artifact, Reason.NO_ROOM, "at " + endpoint.id());
      }
    }
  }

  private static void unloadDrainingEndpoints(PlacementRound round) {
    for (PlannedEndpoint endpoint : round.endpoints()) {
      if (!endpoint.snapshot().endpoint().draining()) {
        continue;
      }
      for (ArtifactId artifact : endpoint.snapshot().artifacts().keySet()) {
        boolean served = round.readyHolders(artifact) > 0;
        if (artifact.adapter() == null && endpoint.holds(artifact) && served) {
          round.unload(artifact, endpoint, Reason.ENDPOINT_LEAVING);
        }
      }
    }
  }
}
