package org.magnoliavale.internal.call;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.route.RouteTable;

/**
 * The collaborators that all calls of an instance share.
 *
 * @param protocol maps headers
 * @param connector sends attempts
 * @param endpoints selects endpoints
 * @param budget limits retries across the fleet
 * @param waiting demand for artifacts
 * @param containment attributes endpoint crashes to requests
 * @param routes the current configuration, null before the first one
 * @param metrics metrics of calls
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
