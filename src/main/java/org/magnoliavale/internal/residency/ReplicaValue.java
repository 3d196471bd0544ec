package org.magnoliavale.internal.residency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * Estimates the value of model replicas, in urgent requests served over the planning horizon.
 *
 * <p>The first replica of a model serves all its requests once loaded. Further replicas relieve
 * requests that slow each other down, and take over when another replica fails.
 */
final class ReplicaValue {
  /** Planning horizon: how long a placement is expected to serve, in seconds. */
  private static final double HORIZON_S = 14;

  /** Time for which requests for an unloaded model have to wait, in seconds. */
  private static final double RELOAD_WAIT_S = 4;

  /** Share of a model's requests that a second replica saves if the first one fails. */
  private static final double SECOND_REPLICA_SAVED_SHARE = 0.1;

  /** Value of a model that has not been requested yet, because demand may shift to it. */
  private static final double STANDBY_VALUE = 5;

  /** The same for a model with past urgent requests, whose demand may return at any time. */
  private static final double URGENT_STANDBY_VALUE = 12;

  /** The same for a model with delay-tolerant requests only. */
  private static final double DELAY_TOLERANT_STANDBY_VALUE = 0.3;

  /** Minimum value of a second replica, which may have been placed for future demand. */
  private static final double MINIMUM_SECOND_REPLICA_VALUE = 0.1;

  /** Extra value of replicas until demand is known: the operator placed them for it. */
  private static final double OPERATOR_PLACEMENT_VALUE = 4;

  /** Value of a local copy on a second endpoint. */
  private static final double LOCAL_COPY_VALUE = 5;

  /** The same for a model with adapters, since adapters are made for popular models. */
  private static final double ADAPTED_LOCAL_COPY_VALUE = 10;

  /** Extra value of a load while there are no requests that it could delay. */
  private static final double IDLE_LOAD_VALUE = 3;

  /** Requests per second below which one replica is enough. */
  private static final double MINIMUM_SECOND_REPLICA_RATE = 1.2;

  /** Requests per second and replica up to which requests do not slow each other down. */
  private static final double UNSATURATED_RATE = 4;

  /** Requests per second beyond that rate at which all requests are slowed down. */
  private static final double SATURATION_RATE_SPAN = 8;

  /** Weight of the slowdown expected from the rate, relative to the observed saturation. */
  private static final double EXPECTED_SLOWDOWN_WEIGHT = 0.5;

  /** Share of a request's value that is lost when it is slowed down. */
  private static final double SLOWDOWN_LOSS = 0.7;

  /** Time after which most waiting requests have been abandoned, in seconds. */
  private static final double ABANDONMENT_S = 2;

  /** Share of waiting requests that are still served after a longer load. */
  private static final double LONG_LOAD_SERVED_SHARE = 0.5;

  /**
   * The replicas of a model that serve now; loading ones can't take over when one is evicted.
   *
   * @param saturation sum of the saturation of their endpoints
   */
  private record ReadyReplicas(int count, double saturation) {
    static final ReadyReplicas NONE = new ReadyReplicas(0, 0);

    ReadyReplicas plus(EndpointView view) {
      return new ReadyReplicas(count + 1, saturation + view.saturation());
    }
  }

  private final List<EndpointView> views;
  private final Map<Artifact, ArtifactUse> modelUses;
  private final Map<Artifact, ReadyReplicas> readyReplicas;
  private final Map<Artifact, Double> localCopyValues = new HashMap<>();
  private final Map<Artifact, Integer> replicas;
  private final Map<Artifact, Double> losses = new HashMap<>();
  private final Map<String, Boolean> delayTolerantModels;
  private final DemandPhase phase;

  ReplicaValue(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<Artifact, Integer> replicas,
      Map<String, Boolean> delayTolerantModels,
      DemandPhase phase) {
    this.views = views;
    this.modelUses = sumByModel(uses);
    this.readyReplicas = countReady(views);
    this.replicas = replicas;
    this.delayTolerantModels = delayTolerantModels;
    this.phase = phase;
  }

  /** Returns the demand for each model and all its adapters. */
  static Map<Artifact, ArtifactUse> sumByModel(Map<Artifact, ArtifactUse> uses) {
    Map<Artifact, ArtifactUse> sums = new HashMap<>();
    uses.forEach((artifact, use) -> sums.merge(artifact.baseModel(), use, ArtifactUse::plus));
    return sums;
  }

  private static Map<Artifact, ReadyReplicas> countReady(List<EndpointView> views) {
    Map<Artifact, ReadyReplicas> ready = new HashMap<>();
    for (EndpointView view : views) {
      for (Artifact artifact : view.artifacts()) {
        if (view.isReady(artifact)) {
          ready.put(artifact, ready.getOrDefault(artifact, ReadyReplicas.NONE).plus(view));
        }
      }
    }
    return ready;
  }

  /** Returns the demand for a model and all its adapters. */
  ArtifactUse use(Artifact model) {
    return modelUses.getOrDefault(model, ArtifactUse.NONE);
  }

  /** Returns the requests that one more replica serves and that would otherwise be late. */
  double gainOfAdding(Artifact model, double loadSeconds) {
    ArtifactUse use = use(model);
    double rate = use.perSecond();
    double serving = Math.max(0, HORIZON_S - loadSeconds);
    int count = replicas.getOrDefault(model, 0);
    if (count == 0) {
      boolean servedInTime = loadSeconds <= ABANDONMENT_S || isDelayTolerant(model);
      double waiting = use.waiting() * (servedInTime ? 1 : LONG_LOAD_SERVED_SHARE);
      double idleValue = phase == DemandPhase.NO_REQUESTS ? IDLE_LOAD_VALUE : 0;
      return standbyValue(model) + idleValue + rate * serving + waiting;
    }
    double reduction = slowdown(model, count) - slowdown(model, count + 1);
    double gain = rate * serving * SLOWDOWN_LOSS * reduction;
    return count == 1
        ? gain
            + Math.max(
                failoverValue(rate, serving),
                localCopyValues.computeIfAbsent(model, this::localCopyValue))
        : gain;
  }

  /**
   * Returns the value of a copy on a second endpoint, for a model to which urgent demand may shift.
   * A replica loads immediately from a local copy, but takes seconds from the weight store.
   */
  private double localCopyValue(Artifact model) {
    long copies = views.stream().filter(view -> view.isLocallyAvailable(model)).count();
    if (isDelayTolerant(model) || copies > 1 || phase == DemandPhase.LEARNING) {
      return 0;
    }
    boolean adapted =
        views.stream()
            .flatMap(view -> view.engine().model(model.model()).stream())
            .anyMatch(known -> known.adapters() > 0);
    double value = adapted ? ADAPTED_LOCAL_COPY_VALUE : LOCAL_COPY_VALUE;
    return phase == DemandPhase.NO_REQUESTS ? value + IDLE_LOAD_VALUE : value;
  }

  /** Must be called after a change of the replicas. */
  void replicasChanged() {
    losses.clear();
  }

  /** Returns the requests that are lost or slowed down if a model loses one replica. */
  double lossOfRemoving(Artifact model) {
    return losses.computeIfAbsent(model, this::computeLossOfRemoving);
  }

  private double computeLossOfRemoving(Artifact model) {
    ArtifactUse use = use(model);
    double rate = use.perSecond();
    int count =
        Math.min(
            replicas.getOrDefault(model, 1),
            readyReplicas.getOrDefault(model, ReadyReplicas.NONE).count());
    if (count <= 1) {
      return standbyValue(model) + rate * RELOAD_WAIT_S + use.waiting();
    }
    double increase = slowdown(model, count - 1) - slowdown(model, count);
    double loss = rate * HORIZON_S * SLOWDOWN_LOSS * increase;
    if (phase != DemandPhase.KNOWN) {
      return loss + OPERATOR_PLACEMENT_VALUE;
    }
    return count == 2
        ? loss + Math.max(MINIMUM_SECOND_REPLICA_VALUE, failoverValue(rate, HORIZON_S))
        : loss;
  }

  private static double failoverValue(double rate, double seconds) {
    return rate >= MINIMUM_SECOND_REPLICA_RATE ? rate * seconds * SECOND_REPLICA_SAVED_SHARE : 0;
  }

  /**
   * Returns the share of a model's requests that are slowed down with {@code count} replicas. It is
   * the larger of an estimate from the request rate and the saturation observed where it is loaded.
   */
  private double slowdown(Artifact model, int count) {
    double rate = use(model).perSecond();
    double expected = Math.clamp((rate / count - UNSATURATED_RATE) / SATURATION_RATE_SPAN, 0, 1);
    return Math.clamp(
        Math.max(EXPECTED_SLOWDOWN_WEIGHT * expected, observedSaturation(model, count)), 0, 1);
  }

  private double observedSaturation(Artifact model, int count) {
    return readyReplicas.getOrDefault(model, ReadyReplicas.NONE).saturation() / count;
  }

  /** Returns whether there is currently no urgent demand for a model. */
  boolean hasNoUrgentDemand(Artifact model) {
    return isDelayTolerant(model) || use(model).perSecond() == 0 && use(model).waiting() == 0;
  }

  private boolean isDelayTolerant(Artifact model) {
    return delayTolerantModels.getOrDefault(model.model(), false);
  }

  private double standbyValue(Artifact model) {
    Boolean delayTolerant = delayTolerantModels.get(model.model());
    if (delayTolerant == null) {
      return STANDBY_VALUE;
    }
    return delayTolerant ? DELAY_TOLERANT_STANDBY_VALUE : URGENT_STANDBY_VALUE;
  }
}
