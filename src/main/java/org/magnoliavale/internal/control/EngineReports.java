package org.magnoliavale.internal.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;

/** The latest report of each engine, and the number of polls that failed since. */
final class EngineReports {
  /** Consecutive failed polls after which an engine counts as unreachable and gets no requests. */
  static final int FAILURES_UNTIL_UNREACHABLE = 4;

  private record LatestReport(EngineReport report, long requestedAtMs, int failures) {}

  private final Map<EndpointId, LatestReport> latest = new HashMap<>();

  /** Stores a report and returns whether the set of ready artifacts changed. */
  boolean recordReport(EndpointId endpoint, EngineReport report, long requestedAtMs) {
    Set<ArtifactId> before = ready(endpoint);
    latest.put(endpoint, new LatestReport(report, requestedAtMs, 0));
    return !before.equals(ready(endpoint));
  }

  /** Counts a failed poll and returns whether the engine became unreachable by it. */
  boolean recordFailure(EndpointId endpoint) {
    LatestReport known = latest.get(endpoint);
    if (known == null) {
      return false;
    }
    latest.put(
        endpoint, new LatestReport(known.report(), known.requestedAtMs(), known.failures() + 1));
    return known.failures() + 1 == FAILURES_UNTIL_UNREACHABLE;
  }

  boolean isReachable(EndpointId endpoint) {
    LatestReport known = latest.get(endpoint);
    return known != null && known.failures() < FAILURES_UNTIL_UNREACHABLE;
  }

  /** Returns the report if it was requested after {@code sinceMs} and no later poll failed. */
  Optional<EngineReport> requestedAfter(EndpointId endpoint, long sinceMs) {
    LatestReport known = latest.get(endpoint);
    boolean fresh = known != null && known.failures() == 0 && known.requestedAtMs() > sinceMs;
    return fresh ? Optional.of(known.report()) : Optional.empty();
  }

  /** Returns the artifacts that are ready to serve; empty if the engine is unreachable. */
  Set<ArtifactId> ready(EndpointId endpoint) {
    if (!isReachable(endpoint)) {
      return Set.of();
    }
    Set<ArtifactId> ready = new HashSet<>();
    for (ResidentArtifact resident : latest.get(endpoint).report().residents()) {
      if (resident.ready()) {
        ready.add(resident.id());
      }
    }
    return ready;
  }

  void retain(Set<EndpointId> known) {
    latest.keySet().retainAll(known);
  }
}
