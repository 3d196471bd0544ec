package org.magnoliavale.internal.dispatch;

import java.time.Duration;
import org.magnoliavale.internal.directory.DirectoryEntry;

/** Result of selecting an endpoint for a request. */
public sealed interface EndpointChoice {
  /**
   * An endpoint was selected, and the request counts as in flight there.
   *
   * @param load estimated requests at the endpoint before this one
   * @param reportAgeMs age of the load that the endpoint reported, in milliseconds; -1 if none
   * @param directoryAgeMs time since the directory was last read, in milliseconds
   */
  record Selected(DirectoryEntry endpoint, double load, long reportAgeMs, long directoryAgeMs)
      implements EndpointChoice {}

  /** No endpoint holds the artifact; the request has to wait until one does. */
  record AwaitArtifact(Artifact artifact) implements EndpointChoice {}

  /**
   * The endpoints have said that they take no request of this instance now.
   *
   * @param timeToNext time after which one of them may take one
   */
  record Deferred(Duration timeToNext) implements EndpointChoice {}

  /** No endpoint of the service can accept the request. */
  record Unavailable(String reason) implements EndpointChoice {}
}
