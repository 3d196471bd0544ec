package org.magnoliavale.internal.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * Criteria for selecting an endpoint.
 *
 * @param service the service that the request is for
 * @param generation the part that concerns a model engine; empty for other services
 * @param urgency how soon the request must be answered; empty if that does not matter
 * @param version the only software version that may be selected; empty if any may
 * @param excluded endpoints that must not be selected
 */
public record SelectionCriteria(
    ServiceId service,
    Optional<GenerationRequest> generation,
    Optional<CallUrgency> urgency,
    Optional<SoftwareVersion> version,
    Set<EndpointIdentity> excluded) {
  /** Copies the set. */
  public SelectionCriteria {
    excluded = Set.copyOf(excluded);
  }

  /** Returns criteria of a request for which it does not matter how soon it is answered. */
  public SelectionCriteria(
      ServiceId service, Optional<GenerationRequest> generation, Set<EndpointIdentity> excluded) {
    this(service, generation, Optional.empty(), Optional.empty(), excluded);
  }

  /** Returns criteria of a request that any software version may answer. */
  public SelectionCriteria(
      ServiceId service,
      Optional<GenerationRequest> generation,
      Optional<CallUrgency> urgency,
      Set<EndpointIdentity> excluded) {
    this(service, generation, urgency, Optional.empty(), excluded);
  }

  /** Returns criteria that exclude one more endpoint. */
  public SelectionCriteria excluding(EndpointIdentity endpoint) {
    Set<EndpointIdentity> more = new HashSet<>(excluded);
    more.add(endpoint);
    return new SelectionCriteria(service, generation, urgency, version, more);
  }

  /** Returns criteria that only endpoints with a software version meet. */
  public SelectionCriteria withVersion(SoftwareVersion required) {
    return new SelectionCriteria(service, generation, urgency, Optional.of(required), excluded);
  }

  /** Returns whether an endpoint with a software version may be selected. */
  boolean allows(SoftwareVersion softwareVersion) {
    return version.isEmpty() || version.get().equals(softwareVersion);
  }
}
