package org.magnoliavale.internal.placement;

import java.util.Map;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * An endpoint as placement sees it.
 *
 * @param endpoint the endpoint
 * @param usable whether anything may be placed there: it reports and is not leaving
 * @param freeBytes memory that may still be reserved, in bytes
 * @param artifacts what occupies it or will
 */
public record PlacedEndpoint(
    Endpoint endpoint, boolean usable, long freeBytes, Map<ArtifactId, Occupancy> artifacts) {
  /** What an artifact's bytes stand for. */
  public enum Occupancy {
    /** It is on its way in. */
    ARRIVING,
    /** It serves requests, but came so recently that it is not evicted for another model. */
    FRESH,
    /** It serves requests. */
    READY,
    /** It is on its way out. */
    DEPARTING
  }

  /** Takes a copy. */
  public PlacedEndpoint {
    artifacts = Map.copyOf(artifacts);
  }

  /** Tells whether an artifact is ready or arriving here. */
  public boolean holds(ArtifactId artifact) {
    Occupancy occupancy = artifacts.get(artifact);
    return occupancy != null && occupancy != Occupancy.DEPARTING;
  }

  /** Tells whether an artifact is ready here. */
  public boolean isReady(ArtifactId artifact) {
    Occupancy occupancy = artifacts.get(artifact);
    return occupancy == Occupancy.READY || occupancy == Occupancy.FRESH;
  }

  /** Tells whether an artifact came so recently that it is not evicted for another model. */
  public boolean isFresh(ArtifactId artifact) {
    return artifacts.get(artifact) == Occupancy.FRESH;
  }
}
