package org.magnoliavale.internal.placement;

import java.util.Map;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * State of an endpoint at the start of a placement round.
 *
 * @param endpoint the endpoint
 * @param usable whether artifacts may be loaded: it is reachable and not draining
 * @param freeBytes memory that can still be reserved, in bytes
 * @param artifacts the artifacts that occupy memory or have it reserved
 */
public record EndpointSnapshot(
    Endpoint endpoint, boolean usable, long freeBytes, Map<ArtifactId, Occupancy> artifacts) {
  /** State of an artifact at an endpoint. */
  public enum Occupancy {
    /** Being loaded. */
    LOADING,
    /** Ready to serve, but too recently loaded to be evicted for another model. */
    PROTECTED,
    /** Ready to serve. */
    READY,
    /** Being unloaded. */
    UNLOADING
  }

  /** Copies the map of artifacts. */
  public EndpointSnapshot {
    artifacts = Map.copyOf(artifacts);
  }

  /** Tells whether an artifact is ready or being loaded here. */
  public boolean holds(ArtifactId artifact) {
    Occupancy occupancy = artifacts.get(artifact);
    return occupancy != null && occupancy != Occupancy.UNLOADING;
  }

  /** Tells whether an artifact is ready here. */
  public boolean isReady(ArtifactId artifact) {
    Occupancy occupancy = artifacts.get(artifact);
    return occupancy == Occupancy.READY || occupancy == Occupancy.PROTECTED;
  }

  /** Tells whether an artifact is ready here, but protected from eviction for another model. */
  public boolean isProtected(ArtifactId artifact) {
    return artifacts.get(artifact) == Occupancy.PROTECTED;
  }
}
