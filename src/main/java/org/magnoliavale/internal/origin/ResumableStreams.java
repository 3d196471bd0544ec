package org.magnoliavale.internal.origin;

import java.time.Duration;
import org.magnoliavale.internal.identifier.ServiceId;

/** The streams that the current configuration allows to be resumed. */
public interface ResumableStreams {
  /** Returns whether a service has such streams. */
  boolean hasResumable(ServiceId service);

  /** Returns the longest time that one lasts; 0 if there are none. */
  Duration longestResumable();
}
