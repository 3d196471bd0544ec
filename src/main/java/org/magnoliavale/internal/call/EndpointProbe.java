package org.magnoliavale.internal.call;

import org.magnoliavale.internal.directory.DirectoryEntry;

/** Checks whether an endpoint has crashed, for {@link CrashDetector}. */
@FunctionalInterface
public interface EndpointProbe {
  /**
   * Starts a check and returns at once. If the incarnation does not run any more, {@link
   * CrashDetector#endpointDown} is called later.
   */
  void probe(DirectoryEntry endpoint);
}
