package org.magnoliavale.internal.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;

/** Demand for artifacts at all instances, from the last report of each. Thread-safe. */
public final class FleetDemand {
  /** Age after which an instance's report is discarded. */
  private static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time after the first request until rates reflect the demand. */
  private static final long LEARNING_NANOS = TimeUnit.SECONDS.toNanos(4);

  private record Report(Map<Artifact, ArtifactUse> uses, long nanos) {}

  private final Map<String, Report> reports = new HashMap<>();
  private final Map<String, Boolean> delayTolerantModels = new HashMap<>();
  private OptionalLong firstRequestNanos = OptionalLong.empty();

  /** Records the demand that an instance reports, and replaces its previous report. */
  public synchronized void update(String instance, Map<Artifact, ArtifactUse> uses, long nowNanos) {
    reports.put(instance, new Report(Map.copyOf(uses), nowNanos));
    if (firstRequestNanos.isEmpty() && !uses.isEmpty()) {
      firstRequestNanos = OptionalLong.of(nowNanos);
    }
    uses.forEach(
        (artifact, use) ->
            delayTolerantModels.merge(artifact.model(), use.delayTolerant(), Boolean::logicalAnd));
  }

  /**
   * Returns, for each model that was requested since this instance started, whether all requests
   * for it were delay-tolerant.
   */
  public synchronized Map<String, Boolean> delayTolerantModels() {
    return Map.copyOf(delayTolerantModels);
  }

  /** Returns how reliably the demand is known. */
  synchronized DemandPhase phase(long nowNanos) {
    if (firstRequestNanos.isEmpty()) {
      return DemandPhase.NO_REQUESTS;
    }
    boolean known = nowNanos - firstRequestNanos.getAsLong() > LEARNING_NANOS;
    return known ? DemandPhase.KNOWN : DemandPhase.LEARNING;
  }

  /** Returns the total demand of all instances by artifact. */
  public synchronized Map<Artifact, ArtifactUse> total(long nowNanos) {
    reports.values().removeIf(report -> nowNanos - report.nanos() > REPORT_VALIDITY_NANOS);
    Map<Artifact, ArtifactUse> total = new HashMap<>();
    for (Report report : reports.values()) {
      report.uses().forEach((artifact, use) -> total.merge(artifact, use, ArtifactUse::plus));
    }
    return total;
  }
}
