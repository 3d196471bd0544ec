package org.magnoliavale.internal.gateway;

import java.util.function.LongSupplier;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.residency.EndpointHealth;

/**
 * Endpoint health as observed by the calls of this instance.
 *
 * @param pool endpoints with the results of recent calls
 * @param nanoClock monotonic time in nanoseconds
 */
record PoolEndpointHealth(EndpointPool pool, LongSupplier nanoClock) implements EndpointHealth {
  @Override
  public boolean isUnreachable(EndpointIdentity identity) {
    return pool.isUnreachable(identity, nanoClock.getAsLong());
  }

  @Override
  public double saturation(EndpointIdentity identity) {
    return pool.saturation(identity, nanoClock.getAsLong());
  }
}
