package org.magnoliavale.internal.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.placement.EndpointSnapshot.Occupancy;

/** Tracks how long artifacts have been ready, to protect recent ones from eviction. */
public final class EvictionProtection {
  /**
   * Time after it became ready during which an artifact is protected from eviction, in
   * milliseconds. With 120 s, fewer replicas move, but fewer requests are answered in time.
   */
  public static final long PROTECTION_MS = 45_000;

  private final Map<EndpointId, Map<ArtifactId, Long>> readySinceMs = new HashMap<>();

  /**
   * Returns the occupancy of an artifact that is ready at {@code nowMs}. The first call for an
   * artifact starts its protection.
   */
  public Occupancy occupancyOf(EndpointId endpoint, ArtifactId artifact, long nowMs) {
    long since =
        readySinceMs
            .computeIfAbsent(endpoint, ignored -> new HashMap<>())
            .computeIfAbsent(artifact, ignored -> nowMs);
    return nowMs - since < PROTECTION_MS ? Occupancy.PROTECTED : Occupancy.READY;
  }

  /** Forgets the artifacts of an endpoint that are not in {@code artifacts}. */
  public void retain(EndpointId endpoint, Set<ArtifactId> artifacts) {
    Map<ArtifactId, Long> known = readySinceMs.get(endpoint);
    if (known != null) {
      known.keySet().retainAll(artifacts);
    }
  }
}
