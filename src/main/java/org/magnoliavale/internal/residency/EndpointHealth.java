package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.directory.EndpointIdentity;

/** Health of endpoints as observed from the requests sent to them. */
public interface EndpointHealth {
  /** Returns whether the last connection attempt to an endpoint failed a short time ago. */
  boolean isUnreachable(EndpointIdentity identity);

  /** Returns how much requests slow each other down, from 0 (not at all) to 1 (all of them). */
  double saturation(EndpointIdentity identity);
}
