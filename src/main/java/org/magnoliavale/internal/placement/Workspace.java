package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;

/** Working state of one placement round: the input with the moves decided so far applied. */
final class Workspace {
  /** An endpoint with the moves of this round applied. */
  static final class Place {
    private final PlacedEndpoint placed;
    private final Set<ArtifactId> added = new HashSet<>();
    private final Set<ArtifactId> removed = new HashSet<>();
    private long freeBytes;
    private long adapterDebtBytes;

    Place(PlacedEndpoint placed) {
      this.placed = placed;
      this.freeBytes = placed.freeBytes();
    }

    EndpointId id() {
      return placed.endpoint().id();
    }

    PlacedEndpoint placed() {
      return placed;
    }

    /** Returns the memory available to models; that of adapters still to be loaded is set aside. */
    long freeBytes() {
      return freeBytes - adapterDebtBytes;
    }

    /** Returns the unreserved memory, with that set aside for adapters included. */
    long unoccupiedBytes() {
      return freeBytes;
    }

    boolean holds(ArtifactId artifact) {
      return added.contains(artifact) || placed.holds(artifact) && !removed.contains(artifact);
    }

    boolean isReady(ArtifactId artifact) {
      return placed.isReady(artifact) && !removed.contains(artifact);
    }
  }

  private final PlacementInput input;
  private final List<Place> places = new ArrayList<>();
  private final List<Place> usable = new ArrayList<>();
  private final Map<ModelId, Model> models = new HashMap<>();
  private final Map<ArtifactId, List<Place>> holders = new HashMap<>();
  private final List<Move> moves = new ArrayList<>();

  Workspace(PlacementInput input) {
    this.input = input;
    input.models().forEach(model -> models.put(model.id(), model));
    for (PlacedEndpoint placed : input.endpoints()) {
      Place place = new Place(placed);
      places.add(place);
      if (placed.usable()) {
        usable.add(place);
      }
      for (ArtifactId artifact : placed.artifacts().keySet()) {
        if (placed.holds(artifact)) {
          holders.computeIfAbsent(artifact, ignored -> new ArrayList<>()).add(place);
          place.adapterDebtBytes += adapterDebt(artifact, place);
        }
      }
    }
  }

  /** Returns the memory that a model's adapters need which are not yet at the endpoint. */
  private long adapterDebt(ArtifactId weights, Place place) {
    Model model = models.get(weights.model());
    if (weights.adapter() != null || model == null || model.version() != weights.version()) {
      return 0;
    }
    long missing =
        model.adapters().stream()
            .map(adapter -> new ArtifactId(model.id(), model.version(), adapter))
            .filter(adapter -> !place.placed().artifacts().containsKey(adapter))
            .count();
    return missing * model.adapterBytes();
  }

  PlacementInput input() {
    return input;
  }

  List<Place> places() {
    return places;
  }

  List<Place> usable() {
    return usable;
  }

  Optional<Model> model(ModelId id) {
    return Optional.ofNullable(models.get(id));
  }

  List<Move> moves() {
    return List.copyOf(moves);
  }

  /** Returns the usable endpoints that hold an artifact, after the moves of this round. */
  List<Place> holders(ArtifactId artifact) {
    List<Place> found = new ArrayList<>();
    for (Place place : holders.getOrDefault(artifact, List.of())) {
      if (place.placed().usable() && place.holds(artifact)) {
        found.add(place);
      }
    }
    return found;
  }

  /** Returns how many usable endpoints have an artifact ready, after the moves of this round. */
  long readyHolders(ArtifactId artifact) {
    return holders(artifact).stream().filter(place -> place.isReady(artifact)).count();
  }

  /**
   * Tells whether an artifact has memory at an endpoint in any state, so that it cannot be loaded.
   */
  boolean isOccupied(Place place, ArtifactId artifact) {
    return place.holds(artifact) || place.placed().artifacts().containsKey(artifact);
  }

  /** Returns the memory that becomes free at an endpoint once all unloads are complete. */
  long departingBytes(Place place) {
    long departing = 0;
    for (ArtifactId artifact : place.placed().artifacts().keySet()) {
      if (!place.holds(artifact)) {
        departing += bytesOf(artifact);
      }
    }
    return departing;
  }

  private long bytesOf(ArtifactId artifact) {
    Model model = models.get(artifact.model());
    if (model == null) {
      return 0;
    }
    return artifact.adapter() == null ? model.bytes() : model.adapterBytes();
  }

  void load(ArtifactId artifact, Place place, long bytes, Move.Reason reason) {
    place.added.add(artifact);
    place.freeBytes -= bytes;
    place.adapterDebtBytes += artifact.adapter() == null ? adapterDebt(artifact, place) : -bytes;
    holders.computeIfAbsent(artifact, ignored -> new ArrayList<>()).add(place);
    moves.add(new Move.Load(artifact, place.id(), bytes, reason));
  }

  /** Unloads an artifact and its adapters. Their memory becomes free only in a later round. */
  void unload(ArtifactId artifact, Place place, Move.Reason reason) {
    for (ArtifactId other : place.placed().artifacts().keySet()) {
      boolean dependent = other.adapter() != null && other.weights().equals(artifact);
      if (dependent && place.holds(other)) {
        place.removed.add(other);
        moves.add(new Move.Unload(other, place.id(), reason));
      }
    }
    place.removed.add(artifact);
    moves.add(new Move.Unload(artifact, place.id(), reason));
  }

  void decline(ArtifactId artifact, Move.Reason reason, String detail) {
    moves.add(new Move.Declined(artifact, reason, detail));
  }
}
