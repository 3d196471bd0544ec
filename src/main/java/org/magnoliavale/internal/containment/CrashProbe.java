package org.magnoliavale.internal.containment;

import org.magnoliavale.internal.document.Endpoint;

/** Tells a crash from a cut connection. Blocks for a short, bounded time. */
public interface CrashProbe {
  /** Tells whether an endpoint is gone, or not the one that was there before. */
  boolean hasCrashed(Endpoint endpoint, String knownIncarnation);
}
