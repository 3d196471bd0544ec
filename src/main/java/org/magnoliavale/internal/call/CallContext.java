package org.magnoliavale.internal.call;

import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointStatementListener;
import org.magnoliavale.internal.dispatch.AttemptOutcome;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.dispatch.ReportedLoad;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.tenant.CallerKeys;

/**
 * The collaborators that all calls of an instance share.
 *
 * @param protocol maps headers
 * @param connector sends attempts
 * @param endpoints tracks the state of endpoints
 * @param chooser selects the endpoint of an attempt
 * @param statements acts on what endpoints say of themselves
 * @param retryBudget limits retries across the fleet
 * @param artifactDemand demand for artifacts
 * @param crashDetector attributes endpoint crashes to requests
 * @param peers passes calls to peers while this instance reaches no endpoint
 * @param queue the calls that wait for an endpoint
 * @param routes the current configuration, null before the first one
 * @param keys decides by its key whether a call may pass
 * @param origins knows which software version began a stream
 * @param quota decides whether a tenant's quota has room for a call
 * @param responseMemory memory for responses that are kept until they are complete
 * @param metrics metrics of calls
 * @param nanoClock monotonic time in nanoseconds
 */
public record CallContext(
    CallProtocol protocol,
    EndpointConnector connector,
    EndpointPool endpoints,
    EndpointChooser chooser,
    EndpointStatementListener statements,
    FleetRetryBudget retryBudget,
    ArtifactDemand artifactDemand,
    CrashDetector crashDetector,
    PeerCalls peers,
    QueuedCalls queue,
    Supplier<RouteTable> routes,
    CallerKeys keys,
    StreamOrigins origins,
    QuotaCheck quota,
    ResponseMemory responseMemory,
    CallMetrics metrics,
    LongSupplier nanoClock) {
  /** Returns collaborators without waiting calls, whose endpoints are selected by the pool. */
  public CallContext(
      CallProtocol protocol,
      EndpointConnector connector,
      EndpointPool endpoints,
      EndpointStatementListener statements,
      FleetRetryBudget retryBudget,
      ArtifactDemand artifactDemand,
      CrashDetector crashDetector,
      PeerCalls peers,
      Supplier<RouteTable> routes,
      CallerKeys keys,
      StreamOrigins origins,
      QuotaCheck quota,
      ResponseMemory responseMemory,
      CallMetrics metrics,
      LongSupplier nanoClock) {
    this(
        protocol,
        connector,
        endpoints,
        endpoints::choose,
        statements,
        retryBudget,
        artifactDemand,
        crashDetector,
        peers,
        new QueuedCalls(new Random()),
        routes,
        keys,
        origins,
        quota,
        responseMemory,
        metrics,
        nanoClock);
  }

  /** Returns the same for an instance without peers, whose tenants have no quotas. */
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
        PeerCalls.none(),
        routes,
        CallerKeys.ofSingleInstance(),
        StreamOrigins.ofUnstatedVersions(),
        QuotaCheck.unlimited(),
        responseMemory,
        metrics,
        nanoClock);
  }

  /** Sends waiting calls after events that have been noted; run without the lock of a call. */
  void sendWaitingCalls() {
    metrics.failures().contain("Waiting calls could not be sent.", () -> queue.serve(nanoClock));
  }

  /** Returns whether a peer has passed a call to this instance, and counted it in its quota. */
  boolean isFromPeer(CallPlan plan) {
    return peers.isFromPeer(plan.request().headers(), plan.attemptId());
  }

  /** Takes back what this instance has counted a call for in its tenant's quota. */
  void giveBackQuota(CallPlan plan, long nowNanos) {
    if (!isFromPeer(plan)) {
      plan.giveBackQuota(quota, nowNanos);
    }
  }

  /** Records a new call, for the budget of retries and the demand for its artifact. */
  void recordRequest(CallPlan plan, long nowNanos) {
    retryBudget.recordRequest(plan.service(), nowNanos);
    plan.metadata()
        .generation()
        .map(GenerationRequest::artifact)
        .ifPresent(
            artifact -> artifactDemand.recordRequest(artifact, plan.isDelayTolerant(), nowNanos));
  }

  /** Records the load that an endpoint reported, after which it may take waiting calls. */
  void loadReported(DirectoryEntry endpoint, ReportedLoad load, long nowNanos) {
    endpoints.recordLoad(endpoint.identity(), load, nowNanos);
    queue.loadReported(endpoint);
  }

  /** Records the end of an attempt, after which its endpoint may take waiting calls. */
  void attemptEnded(EndpointChoice.Selected choice, AttemptOutcome outcome, long nowNanos) {
    endpoints.attemptEnded(choice, outcome, nowNanos);
    queue.attemptEnded(choice.endpoint());
  }
}
