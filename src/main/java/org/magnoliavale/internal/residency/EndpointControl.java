package org.magnoliavale.internal.residency;

import java.util.Optional;
import org.magnoliavale.internal.directory.DirectoryEntry;

/** Orders to endpoints and their reports. Every call blocks for a bounded time. */
public interface EndpointControl {
  /** Sends an order once. */
  EndpointOrderAnswer order(DirectoryEntry endpoint, EndpointOrder order);

  /** Asks for a report; nothing if the endpoint does not answer. */
  Optional<EndpointReport> report(DirectoryEntry endpoint);
}
