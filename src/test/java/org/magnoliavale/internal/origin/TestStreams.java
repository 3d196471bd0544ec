package org.magnoliavale.internal.origin;

import java.time.Duration;
import org.magnoliavale.internal.identifier.ServiceId;

/** Streams of any service that may be resumed. */
public record TestStreams(Duration longestResumable) implements ResumableStreams {
  @Override
  public boolean hasResumable(ServiceId service) {
    return true;
  }
}
