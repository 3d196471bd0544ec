package org.magnoliavale.internal.residency;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;

/** The capacity of the endpoints that run model engines, as the configuration states it. */
final class Engines {
  private Engines() {}

  /** Returns the engines among the entries; none without a configuration, which may be null. */
  static Map<EndpointIdentity, EngineSpecification> of(
      RouteTable routes, Collection<DirectoryEntry> entries) {
    Map<EndpointIdentity, EngineSpecification> engines = new HashMap<>();
    if (routes == null) {
      return engines;
    }
    for (DirectoryEntry entry : entries) {
      routes
          .service(entry.service())
          .flatMap(ServiceSpecification::engine)
          .ifPresent(engine -> engines.put(entry.identity(), engine));
    }
    return engines;
  }
}
