package org.magnoliavale.internal.dispatch;

import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * What a call needs from its endpoint.
 *
 * @param service the service that it goes to
 * @param generation what it asks of a model engine, if it asks one
 * @param excluded endpoints that it must not go to
 */
public record Selection(
    ServiceId service, Optional<Generation> generation, Set<EndpointIdentity> excluded) {
  /** Takes a copy. */
  public Selection {
    excluded = Set.copyOf(excluded);
  }
}
