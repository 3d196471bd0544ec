package org.magnoliavale.internal.call;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliavale.internal.directory.EndpointStatementListener;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.route.RouteTable;

/**
 * The collaborators that all calls of an instance share.
 *
 * @param protocol maps headers
 * @param connector sends attempts
 * @param endpoints selects endpoints
 * @param statements acts on what endpoints say of themselves
 * @param retryBudget limits retries across the fleet
 * @param artifactDemand demand for artifacts
 * @param crashDetector attributes endpoint crashes to requests
 * @param routes the current configuration, null before the first one
 * @param responseMemory memory for responses that are kept until they are complete
 * @param metrics metrics of calls
 * @param nanoClock monotonic time in nanoseconds
 */
public record CallContext(
    CallProtocol protocol,
    EndpointConnector connector,
    EndpointPool endpoints,
    EndpointStatementListener statements,
    FleetRetryBudget retryBudget,
    ArtifactDemand artifactDemand,
    CrashDetector crashDetector,
    Supplier<RouteTable> routes,
    ResponseMemory responseMemory,
    CallMetrics metrics,
    LongSupplier nanoClock) {}
