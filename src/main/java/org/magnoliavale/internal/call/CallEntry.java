package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.DelayTolerance;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.tenant.CallerIdentity;
import org.magnoliavale.internal.tenant.KeyDecision;

/**
 * The steps that a request passes before it becomes a call, in this order: route, key, quota. Each
 * may end it.
 */
final class CallEntry {
  private static final Logger LOG = Logs.of("call");

  /** How the entry of a request ends. */
  sealed interface Result {
    /** The request has passed all steps. */
    record Passed(CallPlan plan) implements Result {}

    /** The request is answered with a problem, and has not been executed. */
    record Rejected(MagnoliavaleException problem) implements Result {}
  }

  private final CallContext context;
  private final RandomGenerator random;

  /** Returns an entry; {@code random} selects among a route's weighted services. */
  CallEntry(CallContext context, RandomGenerator random) {
    this.context = context;
    this.random = random;
  }

  /** Passes a request through all steps. */
  Result enter(CallRequest request, CallMetadata metadata) {
    RouteTable routes = context.routes().get();
    if (routes == null) {
      return rejected(ErrorCode.PLATFORM_UNAVAILABLE, "no configuration yet");
    }
    return findRoute(request, metadata, routes);
  }

  private Result findRoute(CallRequest request, CallMetadata metadata, RouteTable routes) {
    Optional<Route> route = routes.match(request.authority(), request.path());
    if (route.isEmpty()) {
      LOG.infof(
          "No route. request=%s host=%s path=%s configuration=%d",
          metadata.attemptId(), request.authority(), request.path(), routes.version());
      return rejected(ErrorCode.NOT_FOUND, "no such route");
    }
    return checkKey(request, metadata, routes, route.get());
  }

  private Result checkKey(
      CallRequest request, CallMetadata metadata, RouteTable routes, Route route) {
    return switch (context.keys().check(routes, route, metadata.credential(), now())) {
      case KeyDecision.Admitted(CallerIdentity caller) ->
          checkQuota(plan(request, metadata, routes, route, caller));
      case KeyDecision.Rejected(String reason) -> {
        context.metrics().unauthenticated().inc();
        logKey("Rejected, no valid key.", reason, metadata, routes, route);
        yield rejected(ErrorCode.UNAUTHENTICATED, "no valid key");
      }
      case KeyDecision.Undecided(String reason) -> {
        context.metrics().keyUndecided().inc();
        logKey("Rejected, key can't be checked.", reason, metadata, routes, route);
        yield rejected(ErrorCode.PLATFORM_UNAVAILABLE, "the key can't be checked now");
      }
    };
  }

  private static void logKey(
      String event, String reason, CallMetadata metadata, RouteTable routes, Route route) {
    LOG.infof(
        "%s request=%s route=%s configuration=%d reason=%s",
        event, metadata.attemptId(), route.name(), routes.version(), reason);
  }

  private Result checkQuota(CallPlan plan) {
    Optional<Tenant> tenant = plan.caller().knownTenant();
    if (tenant.isEmpty() || context.isFromPeer(plan)) {
      return new Result.Passed(plan);
    }
    context.metrics().ofTenant(tenant.get().id()).inc();
    return switch (context.quota().take(tenant.get(), plan.metadata().generation(), now())) {
      case QuotaCheck.Decision.Granted() -> new Result.Passed(plan);
      case QuotaCheck.Decision.Exceeded(var timeToNext) -> {
        LOG.infof(
            "Rejected, quota is used up. request=%s route=%s tenant=%s retry-after-ms=%d",
            plan.attemptId(), plan.route().name(), tenant.get().id(), timeToNext.toMillis());
        yield new Result.Rejected(
            MagnoliavaleException.of(ErrorCode.OVERLOADED, "the quota is used up")
                .withRetryAfter(timeToNext));
      }
    };
  }

  private CallPlan plan(
      CallRequest request,
      CallMetadata metadata,
      RouteTable routes,
      Route route,
      CallerIdentity caller) {
    ServiceId service = route.selectService(random.nextDouble());
    int limit =
        routes
            .service(service)
            .map(ServiceSpecification::connectionLimit)
            .orElse(Integer.MAX_VALUE);
    return new CallPlan(
        request,
        metadata,
        route,
        caller,
        service,
        limit,
        routes.version(),
        crashKeys(request, metadata),
        DelayTolerance.of(routes, route, service, model(metadata)));
  }

  private static Optional<String> model(CallMetadata metadata) {
    return metadata.generation().map(generation -> generation.artifact().model());
  }

  private static CrashKeys crashKeys(CallRequest request, CallMetadata metadata) {
    return new CrashKeys(
        Fingerprint.of(request.pathQuery(), request.body()),
        metadata.generation().stream()
            .flatMap(generation -> generation.sharedSegments().stream())
            .map(segment -> Fingerprint.ofSegment(segment.id()))
            .toList());
  }

  /** Takes back what a call was counted for that passed all steps and has not been executed. */
  void giveBack(CallPlan plan) {
    context.giveBackQuota(plan, now());
  }

  private static Result rejected(ErrorCode code, String reason) {
    return new Result.Rejected(MagnoliavaleException.of(code, reason));
  }

  private long now() {
    return context.nanoClock().getAsLong();
  }
}
