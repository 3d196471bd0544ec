package org.magnoliavale.internal.containment;

import org.magnoliavale.internal.document.Endpoint;

/** Distinguishes a crash from a lost connection. Blocks for a short, bounded time. */
public interface CrashProbe {
  /** Returns whether an endpoint does not respond or has a different incarnation. */
  boolean hasCrashed(Endpoint endpoint, String knownIncarnation);
}
