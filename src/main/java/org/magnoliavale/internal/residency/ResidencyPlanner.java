package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

/**
 * Plans the next commands. A pure function of the endpoints' contents and the demand.
 *
 * <p>Gains and losses are counted in requests, see {@link ReplicaValue}. A model replaces others
 * when its gain exceeds their loss by a margin. Adapters are loaded where their base model is.
 */
final class ResidencyPlanner {
  /**
   * One command to send.
   *
   * @param view the endpoint
   * @param operation whether to load or unload
   * @param artifact the artifact to load or unload
   * @param pendingModel the model that the step makes room for, if any
   * @param reason why the step is taken, for the log
   */
  record Step(
      EndpointView view,
      EndpointCommand.Operation operation,
      Artifact artifact,
      Optional<Artifact> pendingModel,
      String reason) {
    /** Returns whether the step loads the weights of a model from the weight store. */
    boolean loadsFromStore() {
      return operation == EndpointCommand.Operation.LOAD
          && artifact.adapter().isEmpty()
          && !view.hasLocalCopy(artifact);
    }
  }

  /** Factor by which a gain must exceed the loss from evicted models, to avoid oscillation. */
  private static final double HYSTERESIS_FACTOR = 1.3;

  /** Endpoints per concurrent load from the weight store that no urgent request waits for. */
  private static final int ENDPOINTS_PER_DEFERRABLE_LOAD = 8;

  /** The same for a model that requests wait for and whose weights are on no endpoint. */
  private static final int ENDPOINTS_PER_LOAD_WITHOUT_COPY = 5;

  /** Waiting requests for which a model is loaded from the store although a copy is elsewhere. */
  private static final int REQUESTS_PER_LOAD_BESIDE_COPY = 3;

  /** Fixed cost of a change of models, in requests. */
  private static final double CHANGE_COST = 0.6;

  /** Share of requests for a loaded adapter that miss it, since adapters get replaced. */
  private static final double LOADED_ADAPTER_MISS_SHARE = 0.1;

  private static final double UNLOADED_ADAPTER_MISS_SHARE = 0.6;

  private final List<EndpointView> views;
  private final Map<Artifact, ArtifactUse> uses;
  private final Map<Artifact, Integer> replicas;
  private final ReplicaValue value;
  private final boolean storeLoadAllowed;
  private final DemandPhase phase;
  private int deferrableStoreLoads;
  private final Set<String> plannedEndpoints = new HashSet<>();

  /** Blocked adapter requests per second by endpoint, while the replicas stay the same. */
  private final Map<String, Double> blockedAdapterRates = new HashMap<>();

  private final List<Step> steps = new ArrayList<>();

  private ResidencyPlanner(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<String, Boolean> delayTolerantModels,
      DemandPhase phase,
      boolean storeLoadAllowed) {
    this.views = views.stream().filter(EndpointView::isUsable).toList();
    this.uses = uses;
    this.replicas = EndpointView.countReplicas(views);
    this.value = new ReplicaValue(this.views, uses, replicas, delayTolerantModels, phase);
    this.storeLoadAllowed = storeLoadAllowed;
    this.phase = phase;
    this.deferrableStoreLoads = countDeferrableStoreLoads();
  }

  /**
   * Returns the steps to take now, at most one per endpoint.
   *
   * @param phase how reliably the demand is known
   * @param storeLoadAllowed whether the rate limit of the weight store permits another load
   */
  static List<Step> plan(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<String, Boolean> delayTolerantModels,
      DemandPhase phase,
      boolean storeLoadAllowed) {
    ResidencyPlanner planner =
        new ResidencyPlanner(views, uses, delayTolerantModels, phase, storeLoadAllowed);
    AdapterPlanner adapters =
        AdapterPlanner.of(planner.views, uses, planner.plannedEndpoints, planner.steps);
    planner.continuePendingModels();
    adapters.loadMissing();
    planner.planModels();
    adapters.spreadSaturated();
    return planner.steps;
  }

  private void planModels() {
    Set<Artifact> models = new HashSet<>();
    for (EndpointView view : views) {
      view.engine().modelNames().forEach(name -> models.add(new Artifact(name, Optional.empty())));
    }
    Map<Artifact, Double> gains = new HashMap<>();
    models.forEach(model -> gains.put(model, value.gainOfAdding(model, 0)));
    List<Artifact> wanted = new ArrayList<>(models);
    wanted.sort(
        Comparator.comparingDouble((Artifact model) -> -gains.get(model))
            .thenComparing(Artifact::toString));
    wanted.forEach(this::place);
  }

  /** Continues with endpoints that are making room for a model. */
  private void continuePendingModels() {
    for (EndpointView view : views) {
      if (view.pendingModel().isEmpty() || view.artifacts().contains(view.pendingModel().get())) {
        continue;
      }
      plannedEndpoints.add(view.id());
      Artifact pendingModel = view.pendingModel().get();
      List<Artifact> victims = view.busy() ? null : victims(view, pendingModel);
      if (victims == null || !view.isLocallyAvailable(pendingModel) && !storeLoadAllowed) {
        continue;
      }
      steps.add(step(view, pendingModel, victims, "continued"));
    }
  }

  private static Step step(
      EndpointView view, Artifact model, List<Artifact> victims, String reason) {
    if (victims.isEmpty()) {
      return new Step(view, EndpointCommand.Operation.LOAD, model, Optional.empty(), reason);
    }
    return new Step(
        view,
        EndpointCommand.Operation.UNLOAD,
        victims.getFirst(),
        Optional.of(model),
        "evicted for " + model + ", " + reason);
  }

  private void place(Artifact model) {
    if (value.gainOfAdding(model, 0) <= CHANGE_COST) {
      // A load that takes time gains less.
      return;
    }
    EndpointView best = null;
    List<Artifact> bestVictims = List.of();
    double bestGain = 0;
    boolean fromStore = storeLoadAllowed && mayLoadFromStore(model);
    for (EndpointView view : views) {
      if (view.busy() || plannedEndpoints.contains(view.id()) || view.artifacts().contains(model)) {
        continue;
      }
      if (phase == DemandPhase.NO_REQUESTS && view.sequence() > 0) {
        // At most one change per endpoint, which must be free when requests arrive.
        continue;
      }
      if (!fromStore && !view.isLocallyAvailable(model)) {
        continue;
      }
      List<Artifact> victims = victims(view, model);
      if (victims == null) {
        continue;
      }
      double loss = victims.stream().mapToDouble(value::lossOfRemoving).sum();
      double seconds = loadSeconds(view, model);
      loss += blockedAdapterRequests(view, seconds);
      double gain = value.gainOfAdding(model, seconds) - loss * HYSTERESIS_FACTOR - CHANGE_COST;
      if (gain > bestGain) {
        best = view;
        bestVictims = victims;
        bestGain = gain;
      }
    }
    if (best == null) {
      return;
    }
    plannedEndpoints.add(best.id());
    if (!best.isLocallyAvailable(model) && isDeferrable(model, 0)) {
      deferrableStoreLoads++;
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
    value.replicasChanged();
    blockedAdapterRates.clear();
    steps.add(step(best, model, bestVictims, reason));
  }

  private static String rounded(double value) {
    return String.valueOf(Math.round(value * 10) / 10.0);
  }

  /** Returns the models to evict for another, cheapest first; null if it can't be made to fit. */
  private List<Artifact> victims(EndpointView view, Artifact model) {
    EngineSpecification engine = view.engine();
    double missingMb = view.usedMb() + EndpointView.sizeMb(engine, model) - engine.weightsMb();
    List<Artifact> victims = new ArrayList<>();
    List<Artifact> candidates = new ArrayList<>(view.models());
    candidates.removeIf(candidate -> view.loading().contains(candidate));
    candidates.removeIf(candidate -> view.recentlyLoaded().contains(candidate));
    candidates.sort(
        Comparator.comparingDouble(value::lossOfRemoving).thenComparing(Artifact::toString));
    for (Artifact candidate : candidates) {
      if (missingMb <= 0) {
        break;
      }
      victims.add(candidate);
      missingMb -= EndpointView.sizeMb(engine, candidate);
    }
    return missingMb <= 0 ? victims : null;
  }

  /** Returns the requests whose adapters can't be loaded while the endpoint loads a model. */
  private double blockedAdapterRequests(EndpointView view, double seconds) {
    return seconds * blockedAdapterRates.computeIfAbsent(view.id(), id -> blockedRate(view));
  }

  private double blockedRate(EndpointView view) {
    double perSecond = 0;
    for (Map.Entry<Artifact, ArtifactUse> entry : uses.entrySet()) {
      Artifact artifact = entry.getKey();
      if (artifact.adapter().isPresent() && view.isReady(artifact.baseModel())) {
        int holders = replicas.getOrDefault(artifact.baseModel(), 1);
        boolean loadedHere = view.isReady(artifact);
        double share = loadedHere ? LOADED_ADAPTER_MISS_SHARE : UNLOADED_ADAPTER_MISS_SHARE;
        perSecond += entry.getValue().perSecond() * share / holders;
      }
    }
    return perSecond;
  }

  /**
   * Returns whether another load of a model from the weight store may start. An endpoint accepts no
   * other command during it, so only some endpoints may be occupied by loads that can be deferred;
   * the others stay free for models that requests wait for, most of which load from a local copy.
   */
  private boolean mayLoadFromStore(Artifact model) {
    if (phase == DemandPhase.NO_REQUESTS || !isDeferrable(model, 0)) {
      return true;
    }
    if (replicas.getOrDefault(model, 0) > 0) {
      return isBelowBound(ENDPOINTS_PER_DEFERRABLE_LOAD);
    }
    int waiting = value.use(model).waiting();
    if (views.stream().anyMatch(view -> view.hasLocalCopy(model))) {
      // The endpoint with the copy loads it sooner once it is free.
      return waiting >= REQUESTS_PER_LOAD_BESIDE_COPY
          && isBelowBound(ENDPOINTS_PER_DEFERRABLE_LOAD);
    }
    return isBelowBound(
        waiting > 0 ? ENDPOINTS_PER_LOAD_WITHOUT_COPY : ENDPOINTS_PER_DEFERRABLE_LOAD);
  }

  private boolean isBelowBound(int endpointsPerLoad) {
    return deferrableStoreLoads < Math.max(1, views.size() / endpointsPerLoad);
  }

  /**
   * Returns whether the load of a model can be deferred: another replica serves its requests, or
   * none of them is urgent.
   *
   * @param underWay replicas that are being loaded or planned and count as replicas already
   */
  private boolean isDeferrable(Artifact model, int underWay) {
    return replicas.getOrDefault(model, 0) > underWay || value.hasNoUrgentDemand(model);
  }

  private int countDeferrableStoreLoads() {
    int count = 0;
    for (EndpointView view : views) {
      boolean loads =
          view.loading().stream()
              .anyMatch(
                  artifact ->
                      artifact.adapter().isEmpty()
                          && isDeferrable(artifact, 1)
                          && !view.hasLocalCopy(artifact));
      boolean makesRoom =
          view.pendingModel()
              .filter(
                  pendingModel ->
                      isDeferrable(pendingModel, 1) && !view.isLocallyAvailable(pendingModel))
              .isPresent();
      count += loads || makesRoom ? 1 : 0;
    }
    return count;
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
