package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.UnexpectedFailures;
import org.magnoliavale.internal.route.DelayTolerance;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;

/**
 * Starts calls and tracks those in progress. Thread-safe.
 *
 * <p>A call stays registered from {@link #begin} until it has been answered, aborted or abandoned
 * by its caller. Time limits are checked only in {@link #tick}, which must be called regularly.
 * When the instance stops, {@link #rejectCallsAfter} and then {@link #rejectAll} reject new calls
 * and calls that wait for an endpoint; calls that have been sent to an endpoint may finish.
 */
public final class CallRegistry {
  private static final Logger LOG = Logs.of("call");
  private static final String INTERNAL_ERROR = "internal error";

  private final CallContext context;
  private final RandomGenerator random;
  private final Set<Call> calls = ConcurrentHashMap.newKeySet();
  private volatile Admission admission = Admission.ofAll();

  /** Creates an empty registry; {@code random} selects among a route's weighted services. */
  public CallRegistry(CallContext context, RandomGenerator random) {
    this.context = context;
    this.random = random;
  }

  /**
   * Starts a call.
   *
   * @return the action to run when the caller disconnects
   */
  public Runnable begin(CallRequest request, CallerResponse caller) {
    CallMetadata metadata = CallMetadata.unknown();
    try {
      metadata = context.protocol().parseRequest(request.headers());
      return begin(request, metadata, caller);
    } catch (RuntimeException | Error e) {
      failures().record(e, "Call could not be started. request=" + metadata.attemptId());
      reject(metadata, caller, ErrorCode.INTERNAL, INTERNAL_ERROR);
      return () -> {};
    }
  }

  private Runnable begin(CallRequest request, CallMetadata metadata, CallerResponse caller) {
    RouteTable routes = context.routes().get();
    if (routes == null) {
      reject(metadata, caller, ErrorCode.PLATFORM_UNAVAILABLE, "no configuration yet");
      return () -> {};
    }
    Optional<Route> route = routes.match(request.authority(), request.path());
    if (route.isEmpty()) {
      LOG.infof(
          "No route. request=%s host=%s path=%s configuration=%d",
          metadata.attemptId(), request.authority(), request.path(), routes.version());
      reject(metadata, caller, ErrorCode.NOT_FOUND, "no such route");
      return () -> {};
    }
    Call call = newCall(request, metadata, route.get(), routes, caller);
    // Registered first: a drain that sees no call in progress has rejected all that come later.
    calls.add(call);
    boolean taken = false;
    try {
      taken = admission.takes(call.plan());
    } finally {
      if (!taken) {
        calls.remove(call);
      }
    }
    if (!taken) {
      LOG.infof("Rejected, instance is stopping. request=%s", metadata.attemptId());
      reject(metadata, caller, ErrorCode.STOPPING, "the instance is stopping");
      return () -> {};
    }
    long now = context.nanoClock().getAsLong();
    handle(call, started -> started.start(now));
    return () -> handle(call, left -> left.callerDisconnected(context.nanoClock().getAsLong()));
  }

  private Call newCall(
      CallRequest request,
      CallMetadata metadata,
      Route route,
      RouteTable routes,
      CallerResponse caller) {
    ServiceId service = route.selectService(random.nextDouble());
    int limit =
        routes
            .service(service)
            .map(ServiceSpecification::connectionLimit)
            .orElse(Integer.MAX_VALUE);
    CallPlan plan =
        new CallPlan(
            request,
            metadata,
            route,
            service,
            limit,
            routes.version(),
            crashKeys(request, metadata),
            DelayTolerance.of(routes, route, service, model(metadata)));
    return new Call(context, plan, caller, () -> admission.maySend(plan), calls::remove);
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

  /** Rejects a request that matches no route or cannot be read. */
  public void reject(CallMetadata metadata, CallerResponse caller, ErrorCode code, String reason) {
    MagnoliavaleException problem = MagnoliavaleException.of(code, reason);
    LocalResponses.sendProblem(
        context.protocol(), metadata.attemptId(), caller, code.httpStatus(), problem);
  }

  /** Checks the time limits of all calls and selects endpoints for waiting calls. */
  public void tick() {
    long now = context.nanoClock().getAsLong();
    forEachCall(call -> call.tick(now));
    context.queue().tick(now);
    context.sendWaitingCalls();
  }

  /** Selects endpoints for waiting calls, after the available endpoints have changed. */
  public void endpointsChanged() {
    context.queue().endpointsChanged();
    context.sendWaitingCalls();
  }

  /** Returns the number of calls that wait for an endpoint. */
  public int waiting() {
    return context.queue().size();
  }

  /**
   * Rejects new calls whose deadline lies after a time, because the instance ends then, and waiting
   * calls, so that their callers retry at another instance.
   */
  public void rejectCallsAfter(long nanos) {
    admission = Admission.ofCallsBefore(nanos);
    rejectWaiting();
  }

  /** Rejects new calls and waiting calls. */
  public void rejectAll() {
    admission = admission.withoutNewCalls();
    rejectWaiting();
  }

  private void rejectWaiting() {
    long now = context.nanoClock().getAsLong();
    forEachCall(call -> call.instanceStopping(now));
    context.sendWaitingCalls();
  }

  private void forEachCall(Consumer<Call> event) {
    calls.forEach(call -> CallSteps.runContained(call, event));
  }

  /** Handles an event of a call, and then those that it was for waiting calls. */
  private void handle(Call call, Consumer<Call> event) {
    CallSteps.runContained(call, event);
    context.sendWaitingCalls();
  }

  /** Logs each call in progress, since the end of the process cuts it off. */
  public void logUnfinished() {
    long now = context.nanoClock().getAsLong();
    forEachCall(call -> call.logUnfinished(now));
  }

  /** Returns what counts and logs the exceptions in steps of calls. */
  public UnexpectedFailures failures() {
    return context.metrics().failures();
  }

  /** Returns the number of calls in progress. */
  public int size() {
    return calls.size();
  }
}
