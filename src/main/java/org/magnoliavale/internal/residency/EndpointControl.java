package org.magnoliavale.internal.residency;

import java.util.Optional;
import org.magnoliavale.internal.directory.DirectoryEntry;

/** Sends commands to endpoints and fetches their reports. Each call blocks for a bounded time. */
public interface EndpointControl {
  /** Sends a command once, without retries. */
  EndpointCommandResult send(DirectoryEntry endpoint, EndpointCommand command);

  /**
   * Returns whether an incarnation certainly does not run any more: its address refuses connections
   * or belongs to another one.
   */
  boolean isDown(DirectoryEntry endpoint);

  /** Returns whether an endpoint accepts a connection and answers, whatever it answers. */
  default boolean isReachable(DirectoryEntry endpoint) {
    return fetchReport(endpoint).isPresent();
  }

  /** Fetches a report; empty if the endpoint gives no valid answer. */
  Optional<EndpointReport> fetchReport(DirectoryEntry endpoint);
}
