package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.Workspace.PlannedEndpoint;

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
    Workspace workspace = new Workspace(input);
    unloadObsolete(workspace);
    restoreReplicas(workspace);
    loadAdapters(workspace);
    emptyLeavingEndpoints(workspace);
    new ReplicaScaler(workspace).run();
    return workspace.moves();
  }

  private static void unloadObsolete(Workspace workspace) {
    for (PlannedEndpoint endpoint : workspace.endpoints()) {
      for (ArtifactId artifact : endpoint.snapshot().artifacts().keySet()) {
        if (endpoint.holds(artifact) && isObsolete(workspace, artifact)) {
          workspace.unload(artifact, endpoint, Reason.NOT_WANTED);
        }
      }
    }
  }

  /**
   * Tells whether an artifact is to be unloaded because of the document. An old version is kept
   * until enough replicas of the current one are ready, but only the newest one that is ready, so
   * that versions in quick succession do not fill the memory.
   */
  private static boolean isObsolete(Workspace workspace, ArtifactId artifact) {
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
    for (PlannedEndpoint endpoint : workspace.endpoints()) {
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
    Optional<PlannedEndpoint> endpoint =
        leastUtilisedEndpoint(workspace, UtilisationEstimate.of(workspace), model);
    if (endpoint.isPresent()) {
      workspace.load(model.weights(), endpoint.get(), model.bytes(), Reason.MISSING_REPLICA);
      return;
    }
    if (!MemoryReclaimer.freeMemory(workspace, model)) {
      workspace.decline(
          model.weights(), Reason.NO_ROOM, "needs " + model.bytesWithAdapters() + " bytes");
    }
  }

  /** Returns the least utilised endpoint with enough free memory for a model and its adapters. */
  private static Optional<PlannedEndpoint> leastUtilisedEndpoint(
      Workspace workspace, UtilisationEstimate estimate, Model model) {
    return workspace.usable().stream()
        .filter(endpoint -> !workspace.isAllocated(endpoint, model.weights()))
        .filter(endpoint -> endpoint.freeBytes() >= model.bytesWithAdapters())
        .min(
            Comparator.<PlannedEndpoint>comparingDouble(estimate::utilisation)
                .thenComparing(Comparator.comparingLong(PlannedEndpoint::freeBytes).reversed())
                .thenComparing(PlannedEndpoint::id));
  }

  private static void loadAdapters(Workspace workspace) {
    for (Model model : workspace.input().models()) {
      for (PlannedEndpoint endpoint : workspace.holders(model.weights())) {
        if (endpoint.isReady(model.weights())) {
          loadAdapters(workspace, model, endpoint);
        }
      }
    }
  }

  private static void loadAdapters(Workspace workspace, Model model, PlannedEndpoint endpoint) {
    for (AdapterId adapter : model.adapters()) {
      ArtifactId artifact = new ArtifactId(model.id(), model.version(), adapter);
      if (workspace.isAllocated(endpoint, artifact)) {
        continue;
      }
      if (endpoint.unreservedBytes() >= model.adapterBytes()) {
        workspace.load(artifact, endpoint, model.adapterBytes(), Reason.MISSING_ADAPTER);
      } else {
        workspace.decline(artifact, Reason.NO_ROOM, "at " + endpoint.id());
      }
    }
  }

  private static void emptyLeavingEndpoints(Workspace workspace) {
    for (PlannedEndpoint endpoint : workspace.endpoints()) {
      if (!endpoint.snapshot().endpoint().draining()) {
        continue;
      }
      for (ArtifactId artifact : endpoint.snapshot().artifacts().keySet()) {
        boolean served = workspace.readyHolders(artifact) > 0;
        if (artifact.adapter() == null && endpoint.holds(artifact) && served) {
          workspace.unload(artifact, endpoint, Reason.ENDPOINT_LEAVING);
        }
      }
    }
  }
}
