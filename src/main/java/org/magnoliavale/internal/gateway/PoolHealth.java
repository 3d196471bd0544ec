package org.magnoliavale.internal.gateway;

import java.util.function.LongSupplier;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.residency.EndpointHealth;

/**
 * What the calls of this instance show of endpoints.
 *
 * @param pool the endpoints
 * @param nanoClock monotonic time in nanoseconds
 */
record PoolHealth(EndpointPool pool, LongSupplier nanoClock) implements EndpointHealth {
  @Override
  public boolean isUnreachable(EndpointIdentity identity) {
    return pool.isUnreachable(identity, nanoClock.getAsLong());
  }

  @Override
  public double saturation(EndpointIdentity identity) {
    return pool.saturation(identity, nanoClock.getAsLong());
  }
}
