package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.Workspace.Place;

/**
 * The placement policy that instances run.
 *
 * <p>In this order: every model gets the replicas it must have, those without any first; adapters
 * follow their models; what the document does not want any more goes, once its successor is ready;
 * leaving endpoints are emptied once every model is ready elsewhere; and replicas are added where
 * they answer more requests in time than a move costs, now or in a burst to come. A surplus replica
 * stays until its memory is worth more to another model, so that demand that comes and goes moves
 * little.
 */
public final class Planner implements PlacementPolicy {
  @Override
  public List<Move> plan(PlacementInput input) {
    Workspace workspace = new Workspace(input);
    removeUnwanted(workspace);
    restoreReplicas(workspace);
    loadAdapters(workspace);
    emptyLeavingEndpoints(workspace);
    new DemandGrowth(workspace).run();
    return workspace.moves();
  }

  private static void removeUnwanted(Workspace workspace) {
    for (Place place : workspace.places()) {
      for (ArtifactId artifact : place.placed().artifacts().keySet()) {
        if (place.holds(artifact) && isSuperseded(workspace, artifact)) {
          workspace.unload(artifact, place, Reason.NOT_WANTED);
        }
      }
    }
  }

  /**
   * An old version stays until enough replicas of the wanted one are ready, but only the newest of
   * those that are ready stays: versions that follow each other fast must not fill the memory.
   */
  private static boolean isSuperseded(Workspace workspace, ArtifactId artifact) {
    Optional<Model> model = workspace.model(artifact.model());
    if (model.isEmpty()) {
      return true;
    }
    if (artifact.version() == model.get().version()) {
      return artifact.adapter() != null && !model.get().adapters().contains(artifact.adapter());
    }
    boolean replaced =
        workspace.readyHolders(model.get().weights()) >= model.get().minimumReplicas();
    return replaced || artifact.version() != newestReadyOldVersion(workspace, model.get());
  }

  private static int newestReadyOldVersion(Workspace workspace, Model model) {
    int newest = 0;
    for (Place place : workspace.places()) {
      for (ArtifactId other : place.placed().artifacts().keySet()) {
        boolean old =
            other.model().equals(model.id())
                && other.adapter() == null
                && other.version() != model.version();
        if (old && place.isReady(other)) {
          newest = Math.max(newest, other.version());
        }
      }
    }
    return newest;
  }

  private static void restoreReplicas(Workspace workspace) {
    List<Model> missing = new ArrayList<>();
    for (Model model : workspace.input().models()) {
      if (workspace.holders(model.weights()).size() < model.minimumReplicas()) {
        missing.add(model);
      }
    }
    missing.sort(
        Comparator.<Model>comparingInt(model -> workspace.holders(model.weights()).size())
            .thenComparing(
                Comparator.<Model>comparingDouble(model -> workspace.input().demandOf(model.id()))
                    .reversed())
            .thenComparing(Comparator.comparingLong(Model::bytesWithAdapters).reversed())
            .thenComparing(Model::id));
    for (Model model : missing) {
      int lacking = model.minimumReplicas() - workspace.holders(model.weights()).size();
      for (int i = 0; i < lacking; i++) {
        restoreReplica(workspace, model);
      }
    }
  }

  private static void restoreReplica(Workspace workspace, Model model) {
    Optional<Place> place = bestPlace(workspace, LoadEstimate.of(workspace), model);
    if (place.isPresent()) {
      workspace.load(model.weights(), place.get(), model.bytes(), Reason.MISSING_REPLICA);
      return;
    }
    if (!RoomMaker.makeRoom(workspace, model)) {
      workspace.decline(
          model.weights(), Reason.NO_ROOM, "needs " + model.bytesWithAdapters() + " bytes");
    }
  }

  /** Returns the least used endpoint with room for a model and its adapters. */
  private static Optional<Place> bestPlace(
      Workspace workspace, LoadEstimate estimate, Model model) {
    return workspace.usable().stream()
        .filter(place -> !workspace.isOccupied(place, model.weights()))
        .filter(place -> place.freeBytes() >= model.bytesWithAdapters())
        .min(
            Comparator.<Place>comparingDouble(estimate::utilisation)
                .thenComparing(Comparator.comparingLong(Place::freeBytes).reversed())
                .thenComparing(Place::id));
  }

  private static void loadAdapters(Workspace workspace) {
    for (Model model : workspace.input().models()) {
      for (Place place : workspace.holders(model.weights())) {
        if (place.isReady(model.weights())) {
          loadAdapters(workspace, model, place);
        }
      }
    }
  }

  private static void loadAdapters(Workspace workspace, Model model, Place place) {
    for (AdapterId adapter : model.adapters()) {
      ArtifactId artifact = new ArtifactId(model.id(), model.version(), adapter);
      if (workspace.isOccupied(place, artifact)) {
        continue;
      }
      if (place.unoccupiedBytes() >= model.adapterBytes()) {
        workspace.load(artifact, place, model.adapterBytes(), Reason.MISSING_ADAPTER);
      } else {
        workspace.decline(artifact, Reason.NO_ROOM, "at " + place.id());
      }
    }
  }

  private static void emptyLeavingEndpoints(Workspace workspace) {
    for (Place place : workspace.places()) {
      if (!place.placed().endpoint().draining()) {
        continue;
      }
      for (ArtifactId artifact : place.placed().artifacts().keySet()) {
        boolean served = workspace.readyHolders(artifact) > 0;
        if (artifact.adapter() == null && place.holds(artifact) && served) {
          workspace.unload(artifact, place, Reason.ENDPOINT_LEAVING);
        }
      }
    }
  }
}
