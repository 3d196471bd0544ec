package org.magnoliavale.internal.residency;

import java.time.Duration;
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
  final Map<String, Boolean> patient = new HashMap<>();
  DemandPhase phase = DemandPhase.KNOWN;

  /** Returns endpoints with room for two models and two adapters. */
  private static EngineSpecification engine(String... names) {
    Map<String, ModelSpecification> models = new LinkedHashMap<>();
    for (String name : names) {
      models.put(
          name,
          new ModelSpecification(
              name,
              70,
              Duration.ofSeconds(8),
              Duration.ofMillis(1_600),
              Duration.ofMillis(800),
              10,
              1));
    }
    return new EngineSpecification(8, 1_000, 143, 2, 1, models);
  }

  ViewBuilder endpoint(String id, String... artifacts) {
    return new ViewBuilder(id, artifacts);
  }

  final class ViewBuilder {
    private final String id;
    private final Set<Artifact> held = new HashSet<>();
    private final Set<Artifact> coming = new HashSet<>();
    private boolean busy;
    private long sequence;
    private boolean lost;
    private double crowding;
    private final Set<Artifact> settling = new HashSet<>();
    private Optional<Artifact> goal = Optional.empty();
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

    ViewBuilder coming(String model) {
      coming.add(Artifact.parse(model));
      held.add(Artifact.parse(model));
      busy = true;
      return this;
    }

    ViewBuilder lost() {
      lost = true;
      return this;
    }

    ViewBuilder crowding(double value) {
      crowding = value;
      return this;
    }

    ViewBuilder settling(String model) {
      settling.add(Artifact.parse(model));
      return this;
    }

    ViewBuilder onDisk(String... models) {
      onDisk = Set.of(models);
      return this;
    }

    ViewBuilder goal(String model) {
      goal = Optional.of(Artifact.parse(model));
      return this;
    }

    void add() {
      views.add(
          new EndpointView(
              TestEntries.entryWithCopies(id, onDisk),
              ENGINE,
              held,
              coming,
              Set.of(),
              sequence,
              busy,
              goal,
              lost,
              settling,
              crowding));
    }
  }

  void use(String artifact, double perSecond, int waiting) {
    uses.put(
        Artifact.parse(artifact),
        new ArtifactUse(perSecond, waiting, patient.getOrDefault(artifact, false)));
  }

  List<String> plan(boolean storeLoadAllowed) {
    return ResidencyPlanner.plan(views, uses, patient, phase, storeLoadAllowed).stream()
        .map(step -> step.view().id() + " " + step.operation() + " " + step.artifact())
        .toList();
  }

  List<String> plan() {
    return plan(true);
  }
}
