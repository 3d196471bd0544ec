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

  /** Time for which a placement is expected to serve, in seconds. */
  private static final double HORIZON_S = 10;

  /** Time in which calls for a model that was dropped have to wait, in seconds. */
  private static final double RELOAD_S = 4;

  /** Share of a model's calls that a second replica saves when the first one fails. */
  private static final double SECOND_REPLICA_SHARE = 0.15;

  private static final double FURTHER_REPLICA_SHARE = 0.03;

  /** Calls that a model is worth that nobody asks for now; it makes a later one quick. */
  private static final double STANDBY_CALLS = 2.5;

  /** The same for a model that urgent calls have asked for; demand for it may return at once. */
  private static final double URGENT_STANDBY_CALLS = 5;

  /** The same for a model that only patient calls have asked for. */
  private static final double PATIENT_STANDBY_CALLS = 0.3;

  /** Weight of a call that can wait for a load. */
  private static final double PATIENT_WEIGHT = 0.4;

  /** The same for a second replica, which the operator may have placed for demand to come. */
  private static final double UNKNOWN_CALLS = 0.1;

  /** Requests a second below which one replica is enough. */
  private static final double SECOND_REPLICA_RATE = 1.2;

  /** Requests a second that one replica more is worth having for. */
  private static final double RATE_PER_REPLICA = 8;

  /** Share of slots taken up to which calls do not slow each other down. */
  private static final double EASY_PRESSURE = 0.6;

  /** Factor by which a gain must exceed the loss of what makes way. */
  private static final double HYSTERESIS = 1.3;

  /** Time after which most waiting calls have left, in seconds. */
  private static final double PATIENCE_S = 2;

  /** Share of waiting calls that are still served after a longer load. */
  private static final double PATIENT_SHARE = 0.5;

  /** Share of calls for an adapter that miss it although it is there, since adapters change. */
  private static final double HELD_ADAPTER_SHARE = 0.1;

  private static final double MISSING_ADAPTER_SHARE = 0.6;

  private final List<EndpointView> views;
  private final Map<Artifact, ArtifactUse> uses;
  private final Map<Artifact, Integer> replicas;
  private final Map<String, Boolean> patientModels;
  private final boolean storeLoadAllowed;
  private final Set<String> taken = new HashSet<>();
  private final List<Step> steps = new ArrayList<>();

  private ResidencyPlanner(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<String, Boolean> patientModels,
      boolean storeLoadAllowed) {
    this.patientModels = patientModels;
    this.views = views.stream().filter(EndpointView::isUsable).toList();
    this.uses = uses;
    this.replicas = EndpointView.replicas(views);
    this.storeLoadAllowed = storeLoadAllowed;
  }

  /** Returns the steps to take now, at most one for each endpoint. */
  static List<Step> plan(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<String, Boolean> patientModels,
      boolean storeLoadAllowed) {
    ResidencyPlanner planner = new ResidencyPlanner(views, uses, patientModels, storeLoadAllowed);
    planner.continueGoals();
    planner.planModels();
    planner.planAdapters();
    return planner.steps;
  }

  private void planModels() {
    Set<Artifact> models = new HashSet<>();
    for (EndpointView view : views) {
      view.engine().modelNames().forEach(name -> models.add(new Artifact(name, Optional.empty())));
    }
    List<Artifact> wanted = new ArrayList<>(models);
    wanted.sort(
        Comparator.comparingDouble((Artifact model) -> -gainOfNext(model, 0))
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
      if (victims == null || !isAtHand(view, goal) && !storeLoadAllowed) {
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

  private ArtifactUse use(Artifact model) {
    ArtifactUse total = uses.getOrDefault(model, ArtifactUse.NONE);
    for (Map.Entry<Artifact, ArtifactUse> entry : uses.entrySet()) {
      Artifact artifact = entry.getKey();
      if (artifact.adapter().isPresent() && artifact.base().equals(model)) {
        total = total.plus(entry.getValue());
      }
    }
    return total;
  }

  /** Returns how many calls one replica more serves that would not be served in time. */
  private double gainOfNext(Artifact model, double loadSeconds) {
    ArtifactUse use = use(model);
    double rate = use.perSecond() * weight(model);
    double serving = Math.max(0, HORIZON_S - loadSeconds);
    int count = replicas.getOrDefault(model, 0);
    if (count == 0) {
      boolean soon = loadSeconds <= PATIENCE_S || isPatient(model);
      double waiting = use.waiting() * (soon ? 1 : PATIENT_SHARE);
      return standby(model) + rate * serving + waiting;
    }
    double relief = rate * serving * overload(pressure(model));
    if (count == 1) {
      double safety = rate >= SECOND_REPLICA_RATE ? rate * serving * SECOND_REPLICA_SHARE : 0;
      return safety + relief;
    }
    boolean spread = rate >= RATE_PER_REPLICA * count;
    return (spread ? rate * serving * FURTHER_REPLICA_SHARE : 0) + relief;
  }

  /** Returns how many calls suffer when the last one of a model's replicas goes. */
  private double lossOfLast(Artifact model) {
    ArtifactUse use = use(model);
    double rate = use.perSecond() * weight(model);
    int count = replicas.getOrDefault(model, 1);
    if (count <= 1) {
      return standby(model) + rate * RELOAD_S + use.waiting();
    }
    double pressureAfter = pressure(model) * count / (count - 1);
    double crowding = rate * HORIZON_S * overload(pressureAfter);
    if (count == 2) {
      double safety =
          rate >= SECOND_REPLICA_RATE ? rate * HORIZON_S * SECOND_REPLICA_SHARE : UNKNOWN_CALLS;
      return safety + crowding;
    }
    boolean spread = rate >= RATE_PER_REPLICA * (count - 1);
    return (spread ? rate * HORIZON_S * FURTHER_REPLICA_SHARE : 0) + crowding;
  }

  private boolean isPatient(Artifact model) {
    return patientModels.getOrDefault(model.model(), false);
  }

  private double weight(Artifact model) {
    return isPatient(model) ? PATIENT_WEIGHT : 1;
  }

  private double standby(Artifact model) {
    Boolean patient = patientModels.get(model.model());
    if (patient == null) {
      return STANDBY_CALLS;
    }
    return patient ? PATIENT_STANDBY_CALLS : URGENT_STANDBY_CALLS;
  }

  /** Returns the share of calls that suffer at this share of slots taken. */
  private static double overload(double pressure) {
    return Math.clamp(pressure - EASY_PRESSURE, 0, 1);
  }

  /** Returns the share of slots that is taken on average where a model is ready. */
  private double pressure(Artifact model) {
    return views.stream()
        .filter(view -> view.isReady(model))
        .mapToDouble(EndpointView::pressure)
        .average()
        .orElse(0);
  }

  private void place(Artifact model) {
    EndpointView best = null;
    List<Artifact> bestVictims = List.of();
    double bestGain = 0;
    for (EndpointView view : views) {
      if (view.busy() || taken.contains(view.id()) || view.artifacts().contains(model)) {
        continue;
      }
      if (!isAtHand(view, model) && !storeLoadAllowed) {
        continue;
      }
      List<Artifact> victims = victims(view, model);
      if (victims == null) {
        continue;
      }
      double loss = victims.stream().mapToDouble(this::lossOfLast).sum();
      double seconds = loadSeconds(view, model);
      loss += blockedAdapterCalls(view, seconds);
      double gain = gainOfNext(model, seconds) - loss * HYSTERESIS;
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
    String reason =
        "rate "
            + rounded(use(model).perSecond())
            + " waiting "
            + use(model).waiting()
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
    candidates.sort(Comparator.comparingDouble(this::lossOfLast).thenComparing(Artifact::toString));
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

  private static boolean isAtHand(EndpointView view, Artifact model) {
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
      milliseconds = known.get().memoryLoad().toMillis();
    } else if (view.entry().onDisk().contains(model.model())) {
      milliseconds = known.get().diskLoad().toMillis();
    } else {
      milliseconds = known.get().storeLoad().toMillis();
    }
    return milliseconds / 1_000;
  }

  private void planAdapters() {
    List<Artifact> wanted = new ArrayList<>();
    uses.forEach(
        (artifact, use) -> {
          if (artifact.adapter().isPresent() && use.waiting() > 0 && !isSomewhere(artifact)) {
            wanted.add(artifact);
          }
        });
    wanted.sort(
        Comparator.comparingInt((Artifact artifact) -> -uses.get(artifact).waiting())
            .thenComparing(Artifact::toString));
    wanted.forEach(this::placeAdapter);
  }

  private boolean isSomewhere(Artifact artifact) {
    return views.stream().anyMatch(view -> view.has(artifact));
  }

  private void placeAdapter(Artifact adapter) {
    EndpointView best = null;
    for (EndpointView view : views) {
      boolean able =
          view.isReady(adapter.base())
              && !view.busy()
              && !taken.contains(view.id())
              && (view.fits(adapter) || leastUsedAdapter(view).isPresent());
      if (able && (best == null || view.adapters().size() < best.adapters().size())) {
        best = view;
      }
    }
    if (best == null) {
      return;
    }
    taken.add(best.id());
    if (best.fits(adapter)) {
      steps.add(
          new Step(best, EndpointOrder.Operation.LOAD, adapter, Optional.empty(), "waited for"));
      return;
    }
    Artifact victim = leastUsedAdapter(best).orElseThrow();
    steps.add(
        new Step(
            best,
            EndpointOrder.Operation.UNLOAD,
            victim,
            Optional.empty(),
            "makes way for " + adapter));
  }

  private Optional<Artifact> leastUsedAdapter(EndpointView view) {
    return view.adapters().stream()
        .filter(view::isReady)
        .filter(adapter -> uses.getOrDefault(adapter, ArtifactUse.NONE).waiting() == 0)
        .min(
            Comparator.comparingDouble(
                    (Artifact adapter) -> uses.getOrDefault(adapter, ArtifactUse.NONE).perSecond())
                .thenComparing(Artifact::toString));
  }
}
