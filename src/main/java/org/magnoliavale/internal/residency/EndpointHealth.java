package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.directory.EndpointIdentity;

/** What calls at endpoints show of their health. */
public interface EndpointHealth {
  /** Tells whether connections to an endpoint could not be made lately. */
  boolean isUnreachable(EndpointIdentity identity);

  /** Returns how much calls at an endpoint suffer from each other, from 0 (at ease) to 1. */
  double crowding(EndpointIdentity identity);
}
