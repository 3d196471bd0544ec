package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.Workspace.Place;

/** Frees memory for a model that fits nowhere, without making another model unreachable. */
final class RoomMaker {
  private RoomMaker() {}

  /** Frees room for a model that lacks a replica; tells whether a way was found or is under way. */
  static boolean makeRoom(Workspace workspace, Model wanted) {
    if (isRoomUnderWay(workspace, wanted)) {
      return true;
    }
    return evictSurplusFor(workspace, wanted, Reason.MAKE_ROOM) || relocateOne(workspace, wanted);
  }

  /** Replaces a surplus replica by one of a model in demand, if that pays for two moves. */
  static boolean evictSurplus(
      Workspace workspace, LoadEstimate estimate, Model wanted, double price) {
    List<Place> holders = workspace.holders(wanted.weights());
    for (Place place : byFreeBytes(workspace, wanted)) {
      List<Model> surplus = surplusAt(workspace, place, wanted);
      Optional<List<Model>> evicted = enough(surplus, place, wanted);
      if (evicted.isEmpty()) {
        continue;
      }
      double cost = price * (1 + evicted.get().size());
      double gain =
          Planner.gain(estimate, wanted, holders, place)
              - loss(workspace, estimate, evicted.get(), place);
      if (gain > cost) {
        evicted.get().forEach(model -> workspace.unload(model.weights(), place, Reason.MAKE_ROOM));
        return true;
      }
    }
    workspace.decline(wanted.weights(), Reason.PRICE, "no replica is worth less");
    return false;
  }

  private static double loss(
      Workspace workspace, LoadEstimate estimate, List<Model> evicted, Place place) {
    double loss = 0;
    for (Model model : evicted) {
      List<Place> rest = new ArrayList<>(workspace.holders(model.weights()));
      rest.remove(place);
      loss += Planner.gain(estimate, model, rest, place);
    }
    return loss;
  }

  /** Memory that departs already is enough for the model. */
  private static boolean isRoomUnderWay(Workspace workspace, Model wanted) {
    for (Place place : workspace.usable()) {
      long departing = 0;
      for (var entry : place.placed().artifacts().entrySet()) {
        if (!place.holds(entry.getKey())) {
          departing += bytesOf(workspace, entry.getKey());
        }
      }
      boolean returns = place.placed().artifacts().containsKey(wanted.weights());
      if (departing > 0
          && !returns
          && place.freeBytes() + departing >= wanted.bytesWithAdapters()) {
        return true;
      }
    }
    return false;
  }

  private static long bytesOf(Workspace workspace, ArtifactId artifact) {
    return workspace
        .model(artifact.model())
        .map(model -> artifact.adapter() == null ? model.bytes() : model.adapterBytes())
        .orElse(0L);
  }

  private static boolean evictSurplusFor(Workspace workspace, Model wanted, Reason reason) {
    for (Place place : byFreeBytes(workspace, wanted)) {
      Optional<List<Model>> evicted = enough(surplusAt(workspace, place, wanted), place, wanted);
      if (evicted.isPresent()) {
        evicted.get().forEach(model -> workspace.unload(model.weights(), place, reason));
        return true;
      }
    }
    return false;
  }

  /** Copies one model to another endpoint; it is surplus here as soon as it is ready there. */
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

  /** Returns the models whose replica here can go, the least demanded first. */
  private static List<Model> surplusAt(Workspace workspace, Place place, Model wanted) {
    List<Model> surplus = new ArrayList<>();
    for (Model model : workspace.input().models()) {
      boolean other = !model.id().equals(wanted.id());
      boolean spare = workspace.readyHolders(model.weights()) > model.minimumReplicas();
      if (other && place.isReady(model.weights()) && spare) {
        surplus.add(model);
      }
    }
    surplus.sort(
        Comparator.<Model>comparingDouble(model -> workspace.input().demandOf(model.id()))
            .thenComparing(Model::id));
    return surplus;
  }

  private static Optional<List<Model>> enough(List<Model> surplus, Place place, Model wanted) {
    List<Model> evicted = new ArrayList<>();
    long room = place.freeBytes();
    for (Model model : surplus) {
      if (room >= wanted.bytesWithAdapters()) {
        break;
      }
      evicted.add(model);
      room += model.bytesWithAdapters();
    }
    boolean works = room >= wanted.bytesWithAdapters() && !evicted.isEmpty();
    return works ? Optional.of(evicted) : Optional.empty();
  }
}
