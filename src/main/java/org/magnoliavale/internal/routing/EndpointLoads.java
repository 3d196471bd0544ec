package org.magnoliavale.internal.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliavale.internal.identifier.EndpointId;

/** The loads of all endpoints that this instance ever heard of. */
public final class EndpointLoads {
  private final Map<EndpointId, EndpointLoad> loads = new ConcurrentHashMap<>();

  /** Returns an endpoint's load, an empty one the first time. */
  public EndpointLoad of(EndpointId endpoint) {
    return loads.computeIfAbsent(endpoint, ignored -> new EndpointLoad());
  }
}
