package org.magnoliavale.internal.traffic;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.routing.RouteDecision;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingSnapshot;

/**
 * Selects endpoints from the current routing snapshot, and logs and records the decisions.
 * Thread-safe.
 */
public final class EndpointSelector {
  private static final Logger LOG = Logs.of("routing");

  private final Router router;
  private final Supplier<RoutingSnapshot> snapshots;
  private final Supplier<RandomGenerator> randomGenerators;
  private final RoutingDecisionHistory history;

  /** Returns a selector that reads the current snapshot from {@code snapshots} each time. */
  public EndpointSelector(
      Router router,
      Supplier<RoutingSnapshot> snapshots,
      Supplier<RandomGenerator> randomGenerators,
      RoutingDecisionHistory history) {
    this.router = router;
    this.snapshots = snapshots;
    this.randomGenerators = randomGenerators;
    this.history = history;
  }

  /** Returns the current routing snapshot. */
  public RoutingSnapshot snapshot() {
    return snapshots.get();
  }

  /** Selects an endpoint outside of {@code avoided}, if one is available. */
  public Optional<RouteDecision> select(Target target, Set<EndpointId> avoided, long nowNanos) {
    RoutingSnapshot snapshot = snapshots.get();
    return switch (target) {
      case Target.OfModel(var name) ->
          router.selectForModel(snapshot, name, avoided, nowNanos, randomGenerators.get());
      case Target.OfService(String name) ->
          router.selectForService(snapshot, name, avoided, nowNanos, randomGenerators.get());
    };
  }

  /** Logs and records the endpoint selected for an attempt, before it is sent. */
  public void logDecision(
      RequestContext context, String attemptId, Target target, RouteDecision decision) {
    EndpointId endpoint = decision.candidate().endpoint().id();
    LOG.infof(
        "Endpoint selected. request=%s attempt=%s target=%s endpoint=%s over=%d why=%s",
        context.requestId(),
        attemptId,
        target,
        endpoint,
        decision.candidateCount(),
        decision.reason());
    history.add(
        context.requestId(),
        attemptId
            + " -> "
            + endpoint
            + ", candidates: "
            + decision.candidateCount()
            + ", reason: "
            + decision.reason());
  }

  /** Logs and records the failure of an attempt. */
  public void logFailure(RequestContext context, String attemptId, String reason) {
    LOG.infof(
        "Attempt failed. request=%s attempt=%s why=%s", context.requestId(), attemptId, reason);
    history.add(context.requestId(), attemptId + " failed: " + reason);
  }
}
