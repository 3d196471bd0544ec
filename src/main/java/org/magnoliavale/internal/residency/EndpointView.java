package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.LoadedModel;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

/**
 * The planner's view of one endpoint. Memory is counted for everything that may be present: the
 * contents that the endpoint shows, accepted loads, and loads without a response.
 *
 * @param entry the last directory entry
 * @param engine capacity and models of the engine
 * @param artifacts models and adapters that are loaded or being loaded
 * @param loading the subset of {@code artifacts} that is being loaded
 * @param unloading artifacts that are being unloaded and may still be present
 * @param sequence number of commands accepted
 * @param busy whether the endpoint can't accept a command now
 * @param pendingModel the model that room is being made for
 * @param unavailable whether the endpoint is unreachable or was replaced
 * @param recentlyLoaded models that were loaded a short time ago and are not evicted yet
 * @param saturation how much requests slow each other down, from 0 (not at all) to 1 (all of them)
 */
record EndpointView(
    DirectoryEntry entry,
    EngineSpecification engine,
    Set<Artifact> artifacts,
    Set<Artifact> loading,
    Set<Artifact> unloading,
    long sequence,
    boolean busy,
    Optional<Artifact> pendingModel,
    boolean unavailable,
    Set<Artifact> recentlyLoaded,
    double saturation) {
  String id() {
    return entry.identity().id();
  }

  /** Returns whether a model's weights are in the endpoint's memory cache or on its disk. */
  boolean hasLocalCopy(Artifact model) {
    return entry.inMemory().contains(model.model()) || entry.onDisk().contains(model.model());
  }

  /** Returns whether a model is loaded or being loaded, or its weights are on the endpoint. */
  boolean isLocallyAvailable(Artifact model) {
    return artifacts.contains(model) || hasLocalCopy(model);
  }

  boolean isUsable() {
    return !unavailable && !entry.draining();
  }

  boolean holds(Artifact artifact) {
    return artifacts.contains(artifact) && !unloading.contains(artifact);
  }

  boolean isReady(Artifact artifact) {
    return holds(artifact) && !loading.contains(artifact);
  }

  List<Artifact> models() {
    List<Artifact> models = new ArrayList<>();
    for (Artifact artifact : artifacts) {
      if (artifact.adapter().isEmpty()) {
        models.add(artifact);
      }
    }
    return models;
  }

  List<Artifact> adapters() {
    List<Artifact> adapters = new ArrayList<>();
    for (Artifact artifact : artifacts) {
      if (artifact.adapter().isPresent()) {
        adapters.add(artifact);
      }
    }
    return adapters;
  }

  double usedMb() {
    double used = 0;
    for (Artifact artifact : artifacts) {
      used += sizeMb(engine, artifact);
    }
    return used;
  }

  boolean fits(Artifact artifact) {
    boolean slot = artifact.adapter().isEmpty() || adapters().size() < engine.adapterSlots();
    return slot && usedMb() + sizeMb(engine, artifact) <= engine.weightsMb();
  }

  static double sizeMb(EngineSpecification engine, Artifact artifact) {
    Optional<ModelSpecification> model = engine.model(artifact.model());
    if (model.isEmpty()) {
      // A model that was removed from the configuration still occupies memory.
      return engine.weightsMb() / 2;
    }
    return artifact.adapter().isEmpty() ? model.get().weightsMb() : model.get().adapterMb();
  }

  /** Returns loaded models and their adapters as artifacts. */
  static Set<Artifact> artifactsOf(Map<String, LoadedModel> models) {
    Set<Artifact> held = new HashSet<>();
    models.forEach(
        (name, model) -> {
          held.add(new Artifact(name, Optional.empty()));
          for (String adapter : model.adapters()) {
            held.add(new Artifact(name, Optional.of(adapter)));
          }
        });
    return held;
  }

  /** Counts replicas of each model that are loaded, being loaded or planned, and not unloading. */
  static Map<Artifact, Integer> countReplicas(List<EndpointView> views) {
    Map<Artifact, Integer> replicas = new HashMap<>();
    for (EndpointView view : views) {
      if (!view.isUsable()) {
        continue;
      }
      for (Artifact model : view.models()) {
        if (view.holds(model)) {
          replicas.merge(model, 1, Integer::sum);
        }
      }
      view.pendingModel()
          .filter(pendingModel -> !view.holds(pendingModel))
          .ifPresent(pendingModel -> replicas.merge(pendingModel, 1, Integer::sum));
    }
    return replicas;
  }
}
