package org.magnoliavale.internal.routing;

import java.util.Set;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.AdapterId;

/**
 * An endpoint that can serve a model or a service now.
 *
 * @param endpoint the endpoint
 * @param load the endpoint's load, shared by all snapshots
 * @param version resident version of the model; 0 for plain services
 * @param adapters adapters that are resident
 * @param distanceMicroseconds one-way latency from this instance, in microseconds
 */
public record Candidate(
    Endpoint endpoint,
    EndpointLoad load,
    int version,
    Set<AdapterId> adapters,
    int distanceMicroseconds) {
  /** Copies the set. */
  public Candidate {
    adapters = Set.copyOf(adapters);
  }
}
