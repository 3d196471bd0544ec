package org.magnoliavale.internal.call;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.route.RouteTable;

/**
 * What all calls of an instance share.
 *
 * @param protocol the headers
 * @param connector sends attempts
 * @param endpoints chooses endpoints
 * @param budget allows repeats
 * @param waiting calls that wait for an artifact
 * @param containment requests that crash endpoints
 * @param routes the configuration in force
 * @param metrics counters
 * @param nanoClock monotonic time in nanoseconds
 */
public record CallServices(
    CallProtocol protocol,
    EndpointConnector connector,
    EndpointPool endpoints,
    FleetRetryBudget budget,
    ArtifactDemand waiting,
    CrashWatch containment,
    Supplier<RouteTable> routes,
    CallMetrics metrics,
    LongSupplier nanoClock) {}
