package org.magnoliavale.internal.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;

/** Demand for artifacts at all instances, from the last report of each. Thread-safe. */
public final class FleetDemand {
  /** Age after which an instance's report is discarded. */
  private static final long VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time after the first request until rates reflect the demand. */
  private static final long LEARNING_NANOS = TimeUnit.SECONDS.toNanos(4);

  private record Told(Map<Artifact, ArtifactUse> uses, long nanos) {}

  private final Map<String, Told> toldByInstance = new HashMap<>();
  private final Map<String, Boolean> patientModels = new HashMap<>();
  private OptionalLong firstAskedNanos = OptionalLong.empty();

  /** Records the demand that an instance reports, and replaces its previous report. */
  public synchronized void told(String instance, Map<Artifact, ArtifactUse> uses, long nowNanos) {
    toldByInstance.put(instance, new Told(Map.copyOf(uses), nowNanos));
    if (firstAskedNanos.isEmpty() && !uses.isEmpty()) {
      firstAskedNanos = OptionalLong.of(nowNanos);
    }
    uses.forEach(
        (artifact, use) ->
            patientModels.merge(artifact.model(), use.patient(), Boolean::logicalAnd));
  }

  /**
   * Returns, for each model that was requested since this instance started, whether all requests
   * for it were delay-tolerant.
   */
  public synchronized Map<String, Boolean> patientModels() {
    return Map.copyOf(patientModels);
  }

  /** Returns how reliably the demand is known. */
  synchronized DemandPhase phase(long nowNanos) {
    if (firstAskedNanos.isEmpty()) {
      return DemandPhase.BEFORE;
    }
    boolean known = nowNanos - firstAskedNanos.getAsLong() > LEARNING_NANOS;
    return known ? DemandPhase.KNOWN : DemandPhase.LEARNING;
  }

  /** Returns the total demand of all instances by artifact. */
  public synchronized Map<Artifact, ArtifactUse> total(long nowNanos) {
    toldByInstance.values().removeIf(told -> nowNanos - told.nanos() > VALIDITY_NANOS);
    Map<Artifact, ArtifactUse> total = new HashMap<>();
    for (Told told : toldByInstance.values()) {
      told.uses().forEach((artifact, use) -> total.merge(artifact, use, ArtifactUse::plus));
    }
    return total;
  }
}
