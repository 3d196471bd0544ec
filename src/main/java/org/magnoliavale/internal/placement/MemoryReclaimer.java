package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.PlacementRound.PlannedEndpoint;

/** Frees memory for a model that fits nowhere, and keeps the required replicas of all others. */
final class MemoryReclaimer {
  private MemoryReclaimer() {}

  /** Starts to free memory for a model; returns false if that is impossible. */
  static boolean freeMemory(PlacementRound round, Model wanted) {
    if (isBeingFreed(round, wanted)) {
      return true;
    }
    return evictSurplus(round, wanted) || startRelocation(round, wanted);
  }

  /** Returns unprotected surplus replicas whose eviction frees enough memory, if there are any. */
  static Optional<List<ArtifactId>> selectEvictable(
      PlacementRound round, PlannedEndpoint endpoint, Model wanted) {
    List<ArtifactId> unprotected =
        surplusAt(round, endpoint, wanted).stream()
            .filter(artifact -> !endpoint.snapshot().isProtected(artifact))
            .toList();
    return selectSufficient(round, unprotected, endpoint, wanted);
  }

  /** Tells whether an endpoint has enough memory for the model once its unloads are complete. */
  private static boolean isBeingFreed(PlacementRound round, Model wanted) {
    for (PlannedEndpoint endpoint : round.usable()) {
      long unloadingBytes = round.unloadingBytes(endpoint);
      boolean allocated = endpoint.snapshot().artifacts().containsKey(wanted.weights());
      if (unloadingBytes > 0
          && !allocated
          && endpoint.freeBytes() + unloadingBytes >= wanted.bytesWithAdapters()) {
        return true;
      }
    }
    return false;
  }

  private static boolean evictSurplus(PlacementRound round, Model wanted) {
    for (PlannedEndpoint endpoint : endpointsByFreeBytes(round, wanted)) {
      Optional<List<ArtifactId>> evicted =
          selectSufficient(round, surplusAt(round, endpoint, wanted), endpoint, wanted);
      if (evicted.isPresent()) {
        evicted.get().forEach(artifact -> round.unload(artifact, endpoint, Reason.MAKE_ROOM));
        return true;
      }
    }
    return false;
  }

  /**
   * Loads a replica of some model at a second endpoint. Once it is ready, the first replica is
   * surplus, and a later round evicts it.
   */
  private static boolean startRelocation(PlacementRound round, Model wanted) {
    for (PlannedEndpoint endpoint : endpointsByFreeBytes(round, wanted)) {
      for (Model model : round.input().models()) {
        boolean freesEnough =
            endpoint.isReady(model.weights())
                && endpoint.freeBytes() + model.bytesWithAdapters() >= wanted.bytesWithAdapters();
        if (!freesEnough || round.holders(model.weights()).size() > model.minimumReplicas()) {
          continue;
        }
        Optional<PlannedEndpoint> target =
            round.usable().stream()
                .filter(other -> other != endpoint && !other.holds(model.weights()))
                .filter(other -> !other.snapshot().artifacts().containsKey(model.weights()))
                .filter(other -> other.freeBytes() >= model.bytesWithAdapters())
                .min(Comparator.comparing(PlannedEndpoint::id));
        if (target.isPresent()) {
          round.load(model.weights(), target.get(), model.bytes(), Reason.MAKE_ROOM);
          return true;
        }
      }
    }
    return false;
  }

  private static List<PlannedEndpoint> endpointsByFreeBytes(PlacementRound round, Model wanted) {
    return round.usable().stream()
        .filter(endpoint -> !endpoint.snapshot().artifacts().containsKey(wanted.weights()))
        .sorted(
            Comparator.comparingLong(PlannedEndpoint::freeBytes)
                .reversed()
                .thenComparing(PlannedEndpoint::id))
        .toList();
  }

  /**
   * Returns the models whose replica at this endpoint can be evicted because enough others are
   * ready elsewhere, in ascending order of demand.
   */
  private static List<ArtifactId> surplusAt(
      PlacementRound round, PlannedEndpoint endpoint, Model wanted) {
    List<ArtifactId> surplus = new ArrayList<>();
    for (ArtifactId artifact : endpoint.snapshot().artifacts().keySet()) {
      Optional<Model> model = round.model(artifact.model());
      boolean candidate =
          artifact.adapter() == null
              && model.isPresent()
              && !artifact.equals(wanted.weights())
              && endpoint.isReady(artifact);
      if (candidate && round.readyHolders(artifact) > replicasToKeep(model.get(), artifact)) {
        surplus.add(artifact);
      }
    }
    surplus.sort(
        Comparator.<ArtifactId>comparingDouble(artifact -> round.input().demandOf(artifact.model()))
            .thenComparing(Comparator.naturalOrder()));
    return surplus;
  }

  /** Returns the replicas to keep: for an old version, one, so that the model stays available. */
  private static int replicasToKeep(Model model, ArtifactId artifact) {
    return artifact.version() == model.version() ? model.minimumReplicas() : 1;
  }

  private static Optional<List<ArtifactId>> selectSufficient(
      PlacementRound round, List<ArtifactId> surplus, PlannedEndpoint endpoint, Model wanted) {
    List<ArtifactId> evicted = new ArrayList<>();
    long availableBytes = endpoint.freeBytes();
    for (ArtifactId artifact : surplus) {
      if (availableBytes >= wanted.bytesWithAdapters()) {
        break;
      }
      evicted.add(artifact);
      availableBytes += round.model(artifact.model()).orElseThrow().bytesWithAdapters();
    }
    boolean sufficient = availableBytes >= wanted.bytesWithAdapters() && !evicted.isEmpty();
    return sufficient ? Optional.of(evicted) : Optional.empty();
  }
}
