package org.magnoliavale.internal.queue;

import java.util.Optional;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * Identifies a queue: the calls in it can be served by the same endpoints.
 *
 * @param service the service that the calls are for
 * @param artifact the model or adapter that they need; empty for services without engines
 * @param version the only software version that may serve them; empty if any may
 */
public record QueueId(
    ServiceId service, Optional<Artifact> artifact, Optional<SoftwareVersion> version) {
  /** Returns the queue of calls that any software version may serve. */
  public QueueId(ServiceId service, Optional<Artifact> artifact) {
    this(service, artifact, Optional.empty());
  }
}
