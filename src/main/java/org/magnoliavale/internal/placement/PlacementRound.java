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
final class PlacementRound {
  /** An endpoint with the moves of this round applied. */
  static final class PlannedEndpoint {
    private final EndpointSnapshot snapshot;
    private final Set<ArtifactId> added = new HashSet<>();
    private final Set<ArtifactId> removed = new HashSet<>();
    private long freeBytes;
    private long pendingAdapterBytes;

    PlannedEndpoint(EndpointSnapshot snapshot) {
      this.snapshot = snapshot;
      this.freeBytes = snapshot.freeBytes();
    }

    EndpointId id() {
      return snapshot.endpoint().id();
    }

    EndpointSnapshot snapshot() {
      return snapshot;
    }

    /** Returns the memory available to models; that of adapters still to be loaded is set aside. */
    long freeBytes() {
      return freeBytes - pendingAdapterBytes;
    }

    /** Returns the unreserved memory, with that set aside for adapters included. */
    long unreservedBytes() {
      return freeBytes;
    }

    boolean holds(ArtifactId artifact) {
      return added.contains(artifact) || snapshot.holds(artifact) && !removed.contains(artifact);
    }

    boolean isReady(ArtifactId artifact) {
      return snapshot.isReady(artifact) && !removed.contains(artifact);
    }
  }

  private final PlacementInput input;
  private final List<PlannedEndpoint> endpoints = new ArrayList<>();
  private final List<PlannedEndpoint> usable = new ArrayList<>();
  private final Map<ModelId, Model> models = new HashMap<>();
  private final Map<ArtifactId, List<PlannedEndpoint>> holders = new HashMap<>();
  private final List<Move> moves = new ArrayList<>();

  PlacementRound(PlacementInput input) {
    this.input = input;
    input.models().forEach(model -> models.put(model.id(), model));
    for (EndpointSnapshot snapshot : input.endpoints()) {
      PlannedEndpoint endpoint = new PlannedEndpoint(snapshot);
      endpoints.add(endpoint);
      if (snapshot.usable()) {
        usable.add(endpoint);
      }
      for (ArtifactId artifact : snapshot.artifacts().keySet()) {
        if (snapshot.holds(artifact)) {
          holders.computeIfAbsent(artifact, ignored -> new ArrayList<>()).add(endpoint);
          endpoint.pendingAdapterBytes += missingAdapterBytes(artifact, endpoint);
        }
      }
    }
  }

  /** Returns the memory that a model's adapters need which are not yet at the endpoint. */
  private long missingAdapterBytes(ArtifactId weights, PlannedEndpoint endpoint) {
    Model model = models.get(weights.model());
    if (weights.adapter() != null || model == null || model.version() != weights.version()) {
      return 0;
    }
    long missing =
        model.adapters().stream()
            .map(adapter -> new ArtifactId(model.id(), model.version(), adapter))
            .filter(adapter -> !endpoint.snapshot().artifacts().containsKey(adapter))
            .count();
    return missing * model.adapterBytes();
  }

  PlacementInput input() {
    return input;
  }

  List<PlannedEndpoint> endpoints() {
    return endpoints;
  }

  List<PlannedEndpoint> usable() {
    return usable;
  }

  Optional<Model> model(ModelId id) {
    return Optional.ofNullable(models.get(id));
  }

  List<Move> moves() {
    return List.copyOf(moves);
  }

  /** Returns the usable endpoints that hold an artifact, after the moves of this round. */
  List<PlannedEndpoint> holders(ArtifactId artifact) {
    List<PlannedEndpoint> found = new ArrayList<>();
    for (PlannedEndpoint endpoint : holders.getOrDefault(artifact, List.of())) {
      if (endpoint.snapshot().usable() && endpoint.holds(artifact)) {
        found.add(endpoint);
      }
    }
    return found;
  }

  /** Returns how many usable endpoints have an artifact ready, after the moves of this round. */
  long readyHolders(ArtifactId artifact) {
    return holders(artifact).stream().filter(endpoint -> endpoint.isReady(artifact)).count();
  }

  /**
   * Tells whether an artifact has memory at an endpoint in any state, so that it cannot be loaded.
   */
  boolean isAllocated(PlannedEndpoint endpoint, ArtifactId artifact) {
    return endpoint.holds(artifact) || endpoint.snapshot().artifacts().containsKey(artifact);
  }

  /** Returns the memory that becomes free at an endpoint once all unloads are complete. */
  long unloadingBytes(PlannedEndpoint endpoint) {
    long unloadingBytes = 0;
    for (ArtifactId artifact : endpoint.snapshot().artifacts().keySet()) {
      if (!endpoint.holds(artifact)) {
        unloadingBytes += bytesOf(artifact);
      }
    }
    return unloadingBytes;
  }

  private long bytesOf(ArtifactId artifact) {
    Model model = models.get(artifact.model());
    if (model == null) {
      return 0;
    }
    return artifact.adapter() == null ? model.bytes() : model.adapterBytes();
  }

  void load(ArtifactId artifact, PlannedEndpoint endpoint, long bytes, Move.Reason reason) {
    endpoint.added.add(artifact);
    endpoint.freeBytes -= bytes;
    endpoint.pendingAdapterBytes +=
        artifact.adapter() == null ? missingAdapterBytes(artifact, endpoint) : -bytes;
    holders.computeIfAbsent(artifact, ignored -> new ArrayList<>()).add(endpoint);
    moves.add(new Move.Load(artifact, endpoint.id(), bytes, reason));
  }

  /** Unloads an artifact and its adapters. Their memory becomes free only in a later round. */
  void unload(ArtifactId artifact, PlannedEndpoint endpoint, Move.Reason reason) {
    for (ArtifactId other : endpoint.snapshot().artifacts().keySet()) {
      boolean dependent = other.adapter() != null && other.weights().equals(artifact);
      if (dependent && endpoint.holds(other)) {
        endpoint.removed.add(other);
        moves.add(new Move.Unload(other, endpoint.id(), reason));
      }
    }
    endpoint.removed.add(artifact);
    moves.add(new Move.Unload(artifact, endpoint.id(), reason));
  }

  void decline(ArtifactId artifact, Move.Reason reason, String detail) {
    moves.add(new Move.Declined(artifact, reason, detail));
  }
}
