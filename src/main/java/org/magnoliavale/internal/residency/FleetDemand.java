package org.magnoliavale.internal.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;

/** What calls ask for at each instance, as the instances told last. Thread-safe. */
public final class FleetDemand {
  /** Age after which what an instance told counts no more. */
  private static final long VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(3);

  private record Told(Map<Artifact, ArtifactUse> uses, long nanos) {}

  private final Map<String, Told> toldByInstance = new HashMap<>();
  private final Map<String, Boolean> patientModels = new HashMap<>();

  /** Takes in what an instance tells. */
  public synchronized void told(String instance, Map<Artifact, ArtifactUse> uses, long nowNanos) {
    toldByInstance.put(instance, new Told(Map.copyOf(uses), nowNanos));
    uses.forEach(
        (artifact, use) ->
            patientModels.merge(artifact.model(), use.patient(), Boolean::logicalAnd));
  }

  /**
   * Returns, for each model that was asked for since this instance started, whether only patient
   * calls asked for it.
   */
  public synchronized Map<String, Boolean> patientModels() {
    return Map.copyOf(patientModels);
  }

  /** Returns the uses of all instances together. */
  public synchronized Map<Artifact, ArtifactUse> total(long nowNanos) {
    toldByInstance.values().removeIf(told -> nowNanos - told.nanos() > VALIDITY_NANOS);
    Map<Artifact, ArtifactUse> total = new HashMap<>();
    for (Told told : toldByInstance.values()) {
      told.uses().forEach((artifact, use) -> total.merge(artifact, use, ArtifactUse::plus));
    }
    return total;
  }
}
