package org.magnoliavale.internal.dispatch;

import org.magnoliavale.internal.directory.DirectoryEntry;

/** Where a call goes now. */
public sealed interface Choice {
  /** To this endpoint; its slot is taken. */
  record Send(DirectoryEntry endpoint, double load, long reportAgeMs) implements Choice {}

  /** Nowhere until an endpoint holds the artifact. */
  record AwaitArtifact(Artifact artifact) implements Choice {}

  /** Nowhere: no endpoint of the service can take it. */
  record Unavailable(String reason) implements Choice {}
}
