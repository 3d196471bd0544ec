package org.magnoliavale.internal.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliavale.internal.identifier.EndpointId;

/** Holds the load of every endpoint seen since the instance started. Thread-safe. */
public final class EndpointLoadRegistry {
  private final Map<EndpointId, EndpointLoad> loads = new ConcurrentHashMap<>();

  /** Returns an endpoint's load, creating it on first use. */
  public EndpointLoad get(EndpointId endpoint) {
    return loads.computeIfAbsent(endpoint, ignored -> new EndpointLoad());
  }
}
