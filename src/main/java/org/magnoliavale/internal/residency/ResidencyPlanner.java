package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

/**
 * Decides which orders to give now. A pure function of what endpoints hold and what is asked for.
 *
 * <p>Gains and losses are counted in calls. The first replica of a model serves all its calls from
 * the end of its load on; further ones serve when another one fails. A model takes the place of
 * others when its gain exceeds their loss clearly. Adapters go where their model is.
 */
final class ResidencyPlanner {
  /**
   * One step.
   *
   * @param view the endpoint
   * @param operation what to do
   * @param artifact with what
   * @param goal the model that the step makes room for, if it does
   * @param reason why, for the log
   */
  record Step(
      EndpointView view,
      EndpointOrder.Operation operation,
      Artifact artifact,
      Optional<Artifact> goal,
      String reason) {}

  /** Factor by which a gain must exceed the loss of what makes way. */
  private static final double HYSTERESIS = 1.3;

  /** Endpoints for each load from the weight store that is for patient calls only. */
  private static final int ENDPOINTS_PER_PATIENT_LOAD = 5;

  /** Calls that a change of models costs in any case. */
  private static final double CHANGE_CALLS = 0.6;

  /** Share of calls for an adapter that miss it although it is there, since adapters change. */
  private static final double HELD_ADAPTER_SHARE = 0.1;

  private static final double MISSING_ADAPTER_SHARE = 0.6;

  private final List<EndpointView> views;
  private final Map<Artifact, ArtifactUse> uses;
  private final Map<Artifact, Integer> replicas;
  private final ReplicaValue value;
  private final boolean storeLoadAllowed;
  private final DemandPhase phase;
  private int longPatientLoads;
  private final Set<String> taken = new HashSet<>();
  private final List<Step> steps = new ArrayList<>();

  private ResidencyPlanner(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<String, Boolean> patientModels,
      DemandPhase phase,
      boolean storeLoadAllowed) {
    this.views = views.stream().filter(EndpointView::isUsable).toList();
    this.uses = uses;
    this.replicas = EndpointView.replicas(views);
    this.value = new ReplicaValue(this.views, uses, replicas, patientModels, phase);
    this.storeLoadAllowed = storeLoadAllowed;
    this.phase = phase;
    this.longPatientLoads = countLongPatientLoads();
  }

  /**
   * Returns the steps to take now, at most one for each endpoint.
   *
   * @param phase how much is known of what calls ask for
   * @param storeLoadAllowed whether the weight store's ceiling leaves room for a load
   */
  static List<Step> plan(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<String, Boolean> patientModels,
      DemandPhase phase,
      boolean storeLoadAllowed) {
    ResidencyPlanner planner =
        new ResidencyPlanner(views, uses, patientModels, phase, storeLoadAllowed);
    AdapterPlanner adapters = AdapterPlanner.of(planner.views, uses, planner.taken, planner.steps);
    planner.continueGoals();
    adapters.placeMissing();
    planner.planModels();
    adapters.spreadCrowded();
    return planner.steps;
  }

  private void planModels() {
    Set<Artifact> models = new HashSet<>();
    for (EndpointView view : views) {
      view.engine().modelNames().forEach(name -> models.add(new Artifact(name, Optional.empty())));
    }
    List<Artifact> wanted = new ArrayList<>(models);
    wanted.sort(
        Comparator.comparingDouble((Artifact model) -> -value.gainOfNext(model, 0))
            .thenComparing(Artifact::toString));
    wanted.forEach(this::place);
  }

  /** Goes on with endpoints that are making room for a model. */
  private void continueGoals() {
    for (EndpointView view : views) {
      if (view.goal().isEmpty() || view.artifacts().contains(view.goal().get())) {
        continue;
      }
      taken.add(view.id());
      Artifact goal = view.goal().get();
      List<Artifact> victims = view.busy() ? null : victims(view, goal);
      if (victims == null || !view.isAtHand(goal) && !storeLoadAllowed) {
        continue;
      }
      steps.add(step(view, goal, victims, "goes on"));
    }
  }

  private static Step step(
      EndpointView view, Artifact model, List<Artifact> victims, String reason) {
    if (victims.isEmpty()) {
      return new Step(view, EndpointOrder.Operation.LOAD, model, Optional.empty(), reason);
    }
    return new Step(
        view,
        EndpointOrder.Operation.UNLOAD,
        victims.getFirst(),
        Optional.of(model),
        "makes way for " + model + ", " + reason);
  }

  private void place(Artifact model) {
    EndpointView best = null;
    List<Artifact> bestVictims = List.of();
    double bestGain = 0;
    for (EndpointView view : views) {
      if (view.busy() || taken.contains(view.id()) || view.artifacts().contains(model)) {
        continue;
      }
      if (phase == DemandPhase.BEFORE && view.sequence() > 0) {
        // One change is enough; the endpoint has to be free when calls come.
        continue;
      }
      if (!view.isAtHand(model) && !(storeLoadAllowed && mayLoadLong(model))) {
        continue;
      }
      List<Artifact> victims = victims(view, model);
      if (victims == null) {
        continue;
      }
      double loss = victims.stream().mapToDouble(value::lossOfLast).sum();
      double seconds = loadSeconds(view, model);
      loss += blockedAdapterCalls(view, seconds);
      double gain = value.gainOfNext(model, seconds) - loss * HYSTERESIS - CHANGE_CALLS;
      if (gain > bestGain) {
        best = view;
        bestVictims = victims;
        bestGain = gain;
      }
    }
    if (best == null) {
      return;
    }
    taken.add(best.id());
    if (!best.isAtHand(model) && value.canWait(model)) {
      longPatientLoads++;
    }
    String reason =
        "rate "
            + rounded(value.use(model).perSecond())
            + " waiting "
            + value.use(model).waiting()
            + " replicas "
            + replicas.getOrDefault(model, 0)
            + " gain "
            + rounded(bestGain);
    replicas.merge(model, 1, Integer::sum);
    bestVictims.forEach(victim -> replicas.merge(victim, -1, Integer::sum));
    steps.add(step(best, model, bestVictims, reason));
  }

  private static String rounded(double value) {
    return String.valueOf(Math.round(value * 10) / 10.0);
  }

  /** Returns the models that must go so that another fits, cheapest first; null if none do. */
  private List<Artifact> victims(EndpointView view, Artifact model) {
    EngineSpecification engine = view.engine();
    double missing = view.usedMb() + EndpointView.size(engine, model) - engine.weightsMb();
    List<Artifact> victims = new ArrayList<>();
    List<Artifact> candidates = new ArrayList<>(view.models());
    candidates.removeIf(candidate -> view.coming().contains(candidate));
    candidates.removeIf(candidate -> view.settling().contains(candidate));
    candidates.sort(
        Comparator.comparingDouble(value::lossOfLast).thenComparing(Artifact::toString));
    for (Artifact candidate : candidates) {
      if (missing <= 0) {
        break;
      }
      victims.add(candidate);
      missing -= EndpointView.size(engine, candidate);
    }
    return missing <= 0 ? victims : null;
  }

  /** Returns calls whose adapters can't be loaded while the endpoint carries out a long order. */
  private double blockedAdapterCalls(EndpointView view, double seconds) {
    double calls = 0;
    for (Map.Entry<Artifact, ArtifactUse> entry : uses.entrySet()) {
      Artifact artifact = entry.getKey();
      if (artifact.adapter().isPresent() && view.isReady(artifact.base())) {
        int others = replicas.getOrDefault(artifact.base(), 1);
        boolean here = view.isReady(artifact);
        double share = here ? HELD_ADAPTER_SHARE : MISSING_ADAPTER_SHARE;
        calls += entry.getValue().perSecond() * seconds * share / others;
      }
    }
    return calls;
  }

  /**
   * Tells whether one load more from the weight store may begin for a model. An endpoint takes no
   * other order meanwhile, so only some may be occupied for calls that can wait.
   */
  private boolean mayLoadLong(Artifact model) {
    int most = Math.max(1, views.size() / ENDPOINTS_PER_PATIENT_LOAD);
    return phase == DemandPhase.BEFORE || !value.canWait(model) || longPatientLoads < most;
  }

  private int countLongPatientLoads() {
    int count = 0;
    for (EndpointView view : views) {
      boolean loads =
          view.coming().stream()
              .anyMatch(
                  artifact ->
                      artifact.adapter().isEmpty()
                          && value.canWait(artifact)
                          && !hasOwnCopy(view, artifact));
      boolean makesRoom =
          view.goal()
              .filter(goal -> value.canWait(goal) && !view.isAtHand(goal))
              .filter(goal -> !view.artifacts().contains(goal))
              .isPresent();
      count += loads || makesRoom ? 1 : 0;
    }
    return count;
  }

  private static boolean hasOwnCopy(EndpointView view, Artifact model) {
    return view.entry().inMemory().contains(model.model())
        || view.entry().onDisk().contains(model.model());
  }

  private static double loadSeconds(EndpointView view, Artifact model) {
    Optional<ModelSpecification> known = view.engine().model(model.model());
    if (known.isEmpty()) {
      return 0;
    }
    double milliseconds;
    if (view.entry().inMemory().contains(model.model())) {
      milliseconds = known.get().memoryLoadTime().toMillis();
    } else if (view.entry().onDisk().contains(model.model())) {
      milliseconds = known.get().diskLoadTime().toMillis();
    } else {
      milliseconds = known.get().storeLoadTime().toMillis();
    }
    return milliseconds / 1_000;
  }
}
