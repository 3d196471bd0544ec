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
final class Reports {
  /** Consecutive failed polls after which an engine counts as unreachable and gets no requests. */
  static final int MISSES_UNTIL_UNREACHABLE = 4;

  private record Latest(EngineReport report, long askedAtMs, int misses) {}

  private final Map<EndpointId, Latest> latest = new HashMap<>();

  /** Stores a report and returns whether the set of ready artifacts changed. */
  boolean read(EndpointId endpoint, EngineReport report, long askedAtMs) {
    Set<ArtifactId> before = ready(endpoint);
    latest.put(endpoint, new Latest(report, askedAtMs, 0));
    return !before.equals(ready(endpoint));
  }

  /** Counts a failed poll and returns whether the engine became unreachable by it. */
  boolean missed(EndpointId endpoint) {
    Latest known = latest.get(endpoint);
    if (known == null) {
      return false;
    }
    latest.put(endpoint, new Latest(known.report(), known.askedAtMs(), known.misses() + 1));
    return known.misses() + 1 == MISSES_UNTIL_UNREACHABLE;
  }

  boolean isReachable(EndpointId endpoint) {
    Latest known = latest.get(endpoint);
    return known != null && known.misses() < MISSES_UNTIL_UNREACHABLE;
  }

  /** Returns the report if it was requested after {@code sinceMs} and no later poll failed. */
  Optional<EngineReport> askedSince(EndpointId endpoint, long sinceMs) {
    Latest known = latest.get(endpoint);
    boolean fresh = known != null && known.misses() == 0 && known.askedAtMs() > sinceMs;
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
