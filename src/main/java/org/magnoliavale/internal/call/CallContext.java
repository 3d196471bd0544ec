package org.magnoliavale.internal.call;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliavale.internal.directory.EndpointStatementListener;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.tenant.CallerKeys;

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
 * @param keys decides by its key whether a call may pass
 * @param quota decides whether a tenant's quota has room for a call
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
    CallerKeys keys,
    QuotaCheck quota,
    ResponseMemory responseMemory,
    CallMetrics metrics,
    LongSupplier nanoClock) {
  /** Returns the collaborators of an instance without peers, whose tenants have no quotas. */
  public CallContext(
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
      LongSupplier nanoClock) {
    this(
        protocol,
        connector,
        endpoints,
        statements,
        retryBudget,
        artifactDemand,
        crashDetector,
        routes,
        CallerKeys.ofSingleInstance(),
        QuotaCheck.unlimited(),
        responseMemory,
        metrics,
        nanoClock);
  }
}
