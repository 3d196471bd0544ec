package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

/** Endpoints with room for two models and two adapters, and the demand for them. */
abstract class PlannerFixture {
  private static final EngineSpecification ENGINE = engine("busy", "rare", "other", "idle");

  private final List<EndpointView> views = new ArrayList<>();
  private final Map<Artifact, ArtifactUse> uses = new HashMap<>();
  final Map<String, Boolean> delayTolerant = new HashMap<>();
  DemandPhase phase = DemandPhase.KNOWN;

  /** Returns endpoints with room for two models and two adapters. */
  private static EngineSpecification engine(String... names) {
    Map<String, ModelSpecification> models = new LinkedHashMap<>();
    for (String name : names) {
      models.put(name, TestModels.model(name, 10));
    }
    return new EngineSpecification(8, 1_000, 143, 2, 1, models);
  }

  ViewBuilder endpoint(String id, String... artifacts) {
    return new ViewBuilder(id, artifacts);
  }

  final class ViewBuilder {
    private final String id;
    private final Set<Artifact> held = new HashSet<>();
    private final Set<Artifact> loading = new HashSet<>();
    private boolean busy;
    private long sequence;
    private boolean unavailable;
    private double saturation;
    private final Set<Artifact> recentlyLoaded = new HashSet<>();
    private Optional<Artifact> pendingModel = Optional.empty();
    private Set<String> onDisk = Set.of();

    private ViewBuilder(String id, String... artifacts) {
      this.id = id;
      for (String artifact : artifacts) {
        held.add(Artifact.parse(artifact));
      }
    }

    ViewBuilder busy() {
      busy = true;
      return this;
    }

    ViewBuilder sequence(long value) {
      sequence = value;
      return this;
    }

    ViewBuilder loading(String model) {
      loading.add(Artifact.parse(model));
      held.add(Artifact.parse(model));
      busy = true;
      return this;
    }

    ViewBuilder unavailable() {
      unavailable = true;
      return this;
    }

    ViewBuilder saturation(double value) {
      saturation = value;
      return this;
    }

    ViewBuilder recentlyLoaded(String model) {
      recentlyLoaded.add(Artifact.parse(model));
      return this;
    }

    ViewBuilder onDisk(String... models) {
      onDisk = Set.of(models);
      return this;
    }

    ViewBuilder pendingModel(String model) {
      pendingModel = Optional.of(Artifact.parse(model));
      return this;
    }

    void add() {
      views.add(
          new EndpointView(
              TestEntries.entryWithCopies(id, onDisk),
              ENGINE,
              held,
              loading,
              Set.of(),
              sequence,
              busy,
              pendingModel,
              unavailable,
              recentlyLoaded,
              saturation));
    }
  }

  void use(String artifact, double perSecond, int waiting) {
    uses.put(
        Artifact.parse(artifact),
        new ArtifactUse(perSecond, waiting, delayTolerant.getOrDefault(artifact, false)));
  }

  List<String> plan(boolean storeLoadAllowed) {
    return ResidencyPlanner.plan(views, uses, delayTolerant, phase, storeLoadAllowed).stream()
        .map(step -> step.view().id() + " " + step.operation() + " " + step.artifact())
        .toList();
  }

  WaitingModels waitingModels() {
    return WaitingModels.of(views, uses);
  }

  List<String> plan() {
    return plan(true);
  }
}
