package org.magnoliavale.internal.call;

import java.util.HashSet;
import java.util.Set;
import org.magnoliavale.internal.directory.EndpointIdentity;

/** The endpoints that a call has been sent to, and those that it is not sent to again. */
final class TriedEndpoints {
  private final Set<EndpointIdentity> tried = new HashSet<>();
  private final Set<EndpointIdentity> excluded = new HashSet<>();

  /**
   * Records that the call is sent to an endpoint and returns the connection for it. All attempts of
   * a call bear the same id, so on a connection that has carried one, a late second copy of its
   * response would be taken for the response to the next.
   */
  ConnectionUse recordAttempt(EndpointIdentity endpoint) {
    return tried.add(endpoint) ? ConnectionUse.POOLED : ConnectionUse.OWN;
  }

  /** Excludes an endpoint from further attempts. */
  void exclude(EndpointIdentity endpoint) {
    excluded.add(endpoint);
  }

  /** Allows all endpoints again; returns whether one had been excluded. */
  boolean clearExcluded() {
    boolean any = !excluded.isEmpty();
    excluded.clear();
    return any;
  }

  /** Returns a copy of the endpoints that are excluded now. */
  Set<EndpointIdentity> excluded() {
    return Set.copyOf(excluded);
  }
}
