package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.Workspace.Place;

/** Frees memory for a model that fits nowhere, and keeps every other model reachable. */
final class RoomMaker {
  private RoomMaker() {}

  /** Starts to free memory for a model; returns false if that is impossible. */
  static boolean makeRoom(Workspace workspace, Model wanted) {
    if (isRoomUnderWay(workspace, wanted)) {
      return true;
    }
    return evictSurplusFor(workspace, wanted) || relocateOne(workspace, wanted);
  }

  /** Returns unprotected surplus replicas whose eviction frees enough memory, if there are any. */
  static Optional<List<ArtifactId>> evictable(Workspace workspace, Place place, Model wanted) {
    List<ArtifactId> settled =
        surplusAt(workspace, place, wanted).stream()
            .filter(artifact -> !place.placed().isFresh(artifact))
            .toList();
    return enough(workspace, settled, place, wanted);
  }

  /** Tells whether an endpoint has enough memory for the model once its unloads are complete. */
  private static boolean isRoomUnderWay(Workspace workspace, Model wanted) {
    for (Place place : workspace.usable()) {
      long departing = workspace.departingBytes(place);
      boolean returns = place.placed().artifacts().containsKey(wanted.weights());
      if (departing > 0
          && !returns
          && place.freeBytes() + departing >= wanted.bytesWithAdapters()) {
        return true;
      }
    }
    return false;
  }

  private static boolean evictSurplusFor(Workspace workspace, Model wanted) {
    for (Place place : byFreeBytes(workspace, wanted)) {
      Optional<List<ArtifactId>> evicted =
          enough(workspace, surplusAt(workspace, place, wanted), place, wanted);
      if (evicted.isPresent()) {
        evicted.get().forEach(spare -> workspace.unload(spare, place, Reason.MAKE_ROOM));
        return true;
      }
    }
    return false;
  }

  /**
   * Loads a replica of some model at a second endpoint. Once it is ready, the first replica is
   * surplus, and a later round evicts it.
   */
  private static boolean relocateOne(Workspace workspace, Model wanted) {
    for (Place place : byFreeBytes(workspace, wanted)) {
      for (Model model : workspace.input().models()) {
        boolean frees =
            place.isReady(model.weights())
                && place.freeBytes() + model.bytesWithAdapters() >= wanted.bytesWithAdapters();
        if (!frees || workspace.holders(model.weights()).size() > model.minimumReplicas()) {
          continue;
        }
        Optional<Place> target =
            workspace.usable().stream()
                .filter(other -> other != place && !other.holds(model.weights()))
                .filter(other -> !other.placed().artifacts().containsKey(model.weights()))
                .filter(other -> other.freeBytes() >= model.bytesWithAdapters())
                .min(Comparator.comparing(Place::id));
        if (target.isPresent()) {
          workspace.load(model.weights(), target.get(), model.bytes(), Reason.MAKE_ROOM);
          return true;
        }
      }
    }
    return false;
  }

  private static List<Place> byFreeBytes(Workspace workspace, Model wanted) {
    return workspace.usable().stream()
        .filter(place -> !place.placed().artifacts().containsKey(wanted.weights()))
        .sorted(Comparator.comparingLong(Place::freeBytes).reversed().thenComparing(Place::id))
        .toList();
  }

  /**
   * Returns the models whose replica at this endpoint can be evicted because enough others are
   * ready elsewhere, in ascending order of demand.
   */
  private static List<ArtifactId> surplusAt(Workspace workspace, Place place, Model wanted) {
    List<ArtifactId> surplus = new ArrayList<>();
    for (ArtifactId artifact : place.placed().artifacts().keySet()) {
      Optional<Model> model = workspace.model(artifact.model());
      boolean candidate =
          artifact.adapter() == null
              && model.isPresent()
              && !artifact.equals(wanted.weights())
              && place.isReady(artifact);
      if (candidate && workspace.readyHolders(artifact) > replicasToKeep(model.get(), artifact)) {
        surplus.add(artifact);
      }
    }
    surplus.sort(
        Comparator.<ArtifactId>comparingDouble(
                artifact -> workspace.input().demandOf(artifact.model()))
            .thenComparing(Comparator.naturalOrder()));
    return surplus;
  }

  /** Returns the replicas to keep: for an old version, one, which keeps the model reachable. */
  private static int replicasToKeep(Model model, ArtifactId artifact) {
    return artifact.version() == model.version() ? model.minimumReplicas() : 1;
  }

  private static Optional<List<ArtifactId>> enough(
      Workspace workspace, List<ArtifactId> surplus, Place place, Model wanted) {
    List<ArtifactId> evicted = new ArrayList<>();
    long room = place.freeBytes();
    for (ArtifactId spare : surplus) {
      if (room >= wanted.bytesWithAdapters()) {
        break;
      }
      evicted.add(spare);
      room += workspace.model(spare.model()).orElseThrow().bytesWithAdapters();
    }
    boolean works = room >= wanted.bytesWithAdapters() && !evicted.isEmpty();
    return works ? Optional.of(evicted) : Optional.empty();
  }
}
