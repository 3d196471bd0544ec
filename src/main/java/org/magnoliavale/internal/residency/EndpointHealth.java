package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.directory.EndpointIdentity;

/** What calls at endpoints show of their health. */
public interface EndpointHealth {
  /** Tells whether connections to an endpoint could not be made lately. */
  boolean isUnreachable(EndpointIdentity identity);

  /** Returns the share of an endpoint's slots that is taken, over 1 with a queue. */
  double pressure(EndpointIdentity identity);
}
