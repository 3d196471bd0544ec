package org.magnoliavale.internal.residency;

import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * What replicas of models are worth, counted in calls of urgent callers over the next seconds.
 *
 * <p>The first replica of a model serves all its calls from the end of its load on. Further ones
 * relieve calls that slow each other down, and serve when another one fails.
 */
final class ReplicaValue {
  /** Time for which a placement is expected to serve, in seconds. */
  private static final double HORIZON_S = 14;

  /** Time in which calls for a model that was dropped have to wait, in seconds. */
  private static final double RELOAD_S = 4;

  /** Share of a model's calls that a second replica saves when the first one fails. */
  private static final double SECOND_REPLICA_SHARE = 0.1;

  /** Calls that a model is worth that nobody has asked for yet; demand may move to it. */
  private static final double STANDBY_CALLS = 5;

  /** The same for a model that urgent calls have asked for; demand for it may return at once. */
  private static final double URGENT_STANDBY_CALLS = 12;

  /** The same for a model that only patient calls have asked for. */
  private static final double PATIENT_STANDBY_CALLS = 0.3;

  /** Weight of a call that can wait for a load. */
  private static final double PATIENT_WEIGHT = 0.4;

  /** Calls that a second replica is worth, which may have been placed for demand to come. */
  private static final double UNKNOWN_CALLS = 0.1;

  /** The same before demand shows; the operator placed replicas for the demand to come. */
  private static final double UNASKED_CALLS = 4;

  /** Calls that a copy at hand on a second endpoint is worth. */
  private static final double SPARE_CALLS = 5;

  /** The same for a model with adapters, which are made for models that are much asked for. */
  private static final double ADAPTED_SPARE_CALLS = 10;

  /** What a load is worth more while no calls come that it could hinder. */
  private static final double UNDISTURBED_CALLS = 3;

  /** Requests a second below which one replica is enough. */
  private static final double SECOND_REPLICA_RATE = 1.2;

  /** Requests a second at one replica up to which calls do not slow each other down. */
  private static final double EASY_RATE = 4;

  /** Requests a second beyond that at which all calls suffer. */
  private static final double RATE_SPAN = 8;

  /** Weight of suffering that is expected from the rate, against what calls show. */
  private static final double EXPECTED_WEIGHT = 0.5;

  /** Share of a call's worth that is lost when it suffers. */
  private static final double SUFFERING_LOSS = 0.7;

  /** Time after which most waiting calls have left, in seconds. */
  private static final double PATIENCE_S = 2;

  /** Share of waiting calls that are still served after a longer load. */
  private static final double PATIENT_SHARE = 0.5;

  private final List<EndpointView> views;
  private final Map<Artifact, ArtifactUse> uses;
  private final Map<Artifact, Integer> replicas;
  private final Map<String, Boolean> patientModels;
  private final DemandPhase phase;

  ReplicaValue(
      List<EndpointView> views,
      Map<Artifact, ArtifactUse> uses,
      Map<Artifact, Integer> replicas,
      Map<String, Boolean> patientModels,
      DemandPhase phase) {
    this.views = views;
    this.uses = uses;
    this.replicas = replicas;
    this.patientModels = patientModels;
    this.phase = phase;
  }

  /** Returns the use of a model and its adapters together. */
  ArtifactUse use(Artifact model) {
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
  double gainOfNext(Artifact model, double loadSeconds) {
    ArtifactUse use = use(model);
    double rate = use.perSecond() * weight(model);
    double serving = Math.max(0, HORIZON_S - loadSeconds);
    int count = replicas.getOrDefault(model, 0);
    if (count == 0) {
      boolean soon = loadSeconds <= PATIENCE_S || isPatient(model);
      double waiting = use.waiting() * (soon ? 1 : PATIENT_SHARE);
      double undisturbed = phase == DemandPhase.BEFORE ? UNDISTURBED_CALLS : 0;
      return standby(model) + undisturbed + rate * serving + waiting;
    }
    double relief = suffering(model, count) - suffering(model, count + 1);
    double gain = rate * serving * SUFFERING_LOSS * relief;
    return count == 1 ? gain + Math.max(safety(rate, serving), spareCopy(model)) : gain;
  }

  /**
   * Returns what a copy on a second endpoint is worth for a model to which urgent demand may move:
   * from a copy at hand a replica is loaded at once, from the weight store it takes seconds.
   */
  private double spareCopy(Artifact model) {
    long copies = views.stream().filter(view -> view.isAtHand(model)).count();
    if (isPatient(model) || copies > 1 || phase == DemandPhase.LEARNING) {
      return 0;
    }
    boolean adapted =
        views.stream()
            .flatMap(view -> view.engine().model(model.model()).stream())
            .anyMatch(known -> known.adapters() > 0);
    double calls = adapted ? ADAPTED_SPARE_CALLS : SPARE_CALLS;
    return phase == DemandPhase.BEFORE ? calls + UNDISTURBED_CALLS : calls;
  }

  /** Returns how many calls suffer when the last one of a model's replicas goes. */
  double lossOfLast(Artifact model) {
    ArtifactUse use = use(model);
    double rate = use.perSecond() * weight(model);
    int count = Math.min(replicas.getOrDefault(model, 1), ready(model));
    if (count <= 1) {
      return standby(model) + rate * RELOAD_S + use.waiting();
    }
    double more = suffering(model, count - 1) - suffering(model, count);
    double loss = rate * HORIZON_S * SUFFERING_LOSS * more;
    if (phase != DemandPhase.KNOWN) {
      return loss + UNASKED_CALLS;
    }
    return count == 2 ? loss + Math.max(UNKNOWN_CALLS, safety(rate, HORIZON_S)) : loss;
  }

  /** Returns the replicas that serve now; those on their way do not help when one goes. */
  private int ready(Artifact model) {
    return (int) views.stream().filter(view -> view.isReady(model)).count();
  }

  private static double safety(double rate, double seconds) {
    return rate >= SECOND_REPLICA_RATE ? rate * seconds * SECOND_REPLICA_SHARE : 0;
  }

  /**
   * Returns the share of a model's calls that suffer with so many replicas, from what calls show
   * where it is ready now and from its rate.
   */
  private double suffering(Artifact model, int count) {
    double rate = use(model).perSecond();
    double expected = Math.clamp((rate / count - EASY_RATE) / RATE_SPAN, 0, 1);
    return Math.clamp(Math.max(EXPECTED_WEIGHT * expected, observed(model, count)), 0, 1);
  }

  private double observed(Artifact model, int count) {
    double sum = 0;
    for (EndpointView view : views) {
      if (view.isReady(model)) {
        sum += view.crowding();
      }
    }
    return sum / count;
  }

  /** Tells whether no urgent call asks for a model now. */
  boolean canWait(Artifact model) {
    return isPatient(model) || use(model).perSecond() == 0 && use(model).waiting() == 0;
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
}
