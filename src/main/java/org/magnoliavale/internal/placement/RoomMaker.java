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
    return evictSurplusFor(workspace, wanted) || relocateOne(workspace, wanted);
  }

  /** A replacement that was considered: what goes, where, and what it brings beyond its cost. */
  private record Replacement(List<ArtifactId> evicted, Place place, double profit) {}

  /**
   * Evicts surplus replicas for the model that profits most, if that pays for all the moves. One
   * replacement a round: the room that it makes is used before the next is considered.
   */
  static void replaceSurplus(
      Workspace workspace, LoadEstimate estimate, List<Model> crowded, double price) {
    Replacement best = null;
    for (Model wanted : crowded) {
      if (isRoomUnderWay(workspace, wanted)) {
        return;
      }
      Replacement candidate = bestReplacement(workspace, estimate, wanted, price);
      if (candidate != null && (best == null || candidate.profit() > best.profit())) {
        best = candidate;
      }
    }
    if (best != null && best.profit() > 0) {
      Place place = best.place();
      best.evicted().forEach(spare -> workspace.unload(spare, place, Reason.MAKE_ROOM));
    }
  }

  private static Replacement bestReplacement(
      Workspace workspace, LoadEstimate estimate, Model wanted, double price) {
    List<Place> holders = workspace.holders(wanted.weights());
    Replacement best = null;
    for (Place place : byFreeBytes(workspace, wanted)) {
      Optional<List<ArtifactId>> evicted =
          enough(workspace, settledSurplusAt(workspace, place, wanted), place, wanted);
      if (evicted.isEmpty()) {
        continue;
      }
      double profit =
          Planner.gain(estimate, wanted, holders, place)
              - loss(workspace, estimate, evicted.get(), place)
              - price * (1 + evicted.get().size());
      if (best == null || profit > best.profit()) {
        best = new Replacement(evicted.get(), place, profit);
      }
    }
    return best;
  }

  private static double loss(
      Workspace workspace, LoadEstimate estimate, List<ArtifactId> evicted, Place place) {
    double loss = 0;
    for (ArtifactId spare : evicted) {
      Model model = workspace.model(spare.model()).orElseThrow();
      List<Place> rest = new ArrayList<>(workspace.holders(spare));
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

  /**
   * Returns the weights whose replica here can go because others are ready elsewhere, the least
   * demanded first.
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

  private static List<ArtifactId> settledSurplusAt(Workspace workspace, Place place, Model wanted) {
    return surplusAt(workspace, place, wanted).stream()
        .filter(artifact -> !place.placed().isFresh(artifact))
        .toList();
  }

  /** Of a version that is being replaced, one replica keeps the model reachable. */
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
