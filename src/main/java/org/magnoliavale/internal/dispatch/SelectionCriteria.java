package org.magnoliavale.internal.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * Criteria for selecting an endpoint.
 *
 * @param service the service that the request is for
 * @param generation the part that concerns a model engine; empty for other services
 * @param urgency how soon the request must be answered; empty if that does not matter
 * @param excluded endpoints that must not be selected
 */
public record SelectionCriteria(
    ServiceId service,
    Optional<GenerationRequest> generation,
    Optional<CallUrgency> urgency,
    Set<EndpointIdentity> excluded) {
  /** Copies the set. */
  public SelectionCriteria {
    excluded = Set.copyOf(excluded);
  }

  /** Returns criteria of a request for which it does not matter how soon it is answered. */
  public SelectionCriteria(
      ServiceId service, Optional<GenerationRequest> generation, Set<EndpointIdentity> excluded) {
    this(service, generation, Optional.empty(), excluded);
  }

  /** Returns criteria that exclude one more endpoint. */
  public SelectionCriteria excluding(EndpointIdentity endpoint) {
    Set<EndpointIdentity> more = new HashSet<>(excluded);
    more.add(endpoint);
    return new SelectionCriteria(service, generation, urgency, more);
  }
}
