package org.magnoliavale.internal.call;

import java.util.Optional;
import org.magnoliavale.internal.dispatch.Artifact;

/** The wait of one call for an artifact that no endpoint holds; counted as demand meanwhile. */
final class ArtifactWait {
  private final ArtifactDemand demand;
  private Optional<Artifact> awaited = Optional.empty();

  ArtifactWait(ArtifactDemand demand) {
    this.demand = demand;
  }

  boolean isWaiting() {
    return awaited.isPresent();
  }

  /** Starts the wait; returns false if the call waits already. */
  boolean start(Artifact artifact) {
    if (awaited.isPresent()) {
      return false;
    }
    awaited = Optional.of(artifact);
    demand.waitStarted(artifact);
    return true;
  }

  void stop() {
    awaited.ifPresent(demand::waitEnded);
    awaited = Optional.empty();
  }
}
