package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;

/** All calls in progress: begins them and passes events of the instance on. Thread-safe. */
public final class CallRegistry {
  private static final Logger LOG = Logs.of("call");

  private final CallServices services;
  private final RandomGenerator random;
  private final Set<Call> calls = ConcurrentHashMap.newKeySet();
  private volatile boolean streamsRefused;
  private volatile boolean allRefused;

  /** Returns an empty registry. */
  public CallRegistry(CallServices services, RandomGenerator random) {
    this.services = services;
    this.random = random;
  }

  /**
   * Begins a call.
   *
   * @return what to run when the caller leaves
   */
  public Runnable begin(CallRequest request, CallerPort caller) {
    CallFacts facts = services.protocol().facts(request.headers());
    RouteTable routes = services.routes().get();
    if (routes == null) {
      reject(facts, caller, ErrorCode.PLATFORM_UNAVAILABLE, "no configuration yet");
      return () -> {};
    }
    Optional<Route> route = routes.match(request.authority(), request.path());
    if (route.isEmpty()) {
      LOG.infof(
          "No route. request=%s host=%s path=%s configuration=%d",
          facts.attemptId(), request.authority(), request.path(), routes.version());
      reject(facts, caller, ErrorCode.NOT_FOUND, "no such route");
      return () -> {};
    }
    if (allRefused || streamsRefused && route.get().kind() == CallKind.STREAM) {
      LOG.infof("Refused, stopping. request=%s", facts.attemptId());
      reject(facts, caller, ErrorCode.STOPPING, "the instance is stopping");
      return () -> {};
    }
    Call call = newCall(request, facts, route.get(), routes, caller);
    call.start(services.nanoClock().getAsLong());
    return () -> call.callerLeft(services.nanoClock().getAsLong());
  }

  private Call newCall(
      CallRequest request, CallFacts facts, Route route, RouteTable routes, CallerPort caller) {
    ServiceId service = route.pick(random.nextDouble());
    int limit =
        routes
            .service(service)
            .map(ServiceSpecification::connectionLimit)
            .orElse(Integer.MAX_VALUE);
    CallPlan plan =
        new CallPlan(
            request,
            facts,
            route,
            service,
            limit,
            routes.version(),
            Fingerprint.of(request.pathQuery(), request.body()));
    Call[] self = new Call[1];
    Call call = new Call(services, plan, caller, () -> calls.remove(self[0]));
    self[0] = call;
    calls.add(call);
    return call;
  }

  /** Answers a request that no route takes or that can't be read. */
  public void reject(CallFacts facts, CallerPort caller, ErrorCode code, String reason) {
    MagnoliavaleException problem = MagnoliavaleException.of(code, reason);
    OwnAnswers.problem(services.protocol(), facts.attemptId(), caller, code.httpStatus(), problem);
  }

  /** Lets all calls look at the time. */
  public void tick() {
    long now = services.nanoClock().getAsLong();
    calls.forEach(call -> call.tick(now));
  }

  /** Lets waiting calls try again. */
  public void endpointsChanged() {
    long now = services.nanoClock().getAsLong();
    calls.forEach(call -> call.endpointsChanged(now));
  }

  /**
   * Begins no streams from now on, because the instance is about to end, and sends calls that wait
   * back to their callers, who find another instance.
   */
  public void refuseStreams() {
    streamsRefused = true;
    refuseWaiting();
  }

  /** Begins no calls from now on. */
  public void refuseAll() {
    allRefused = true;
    refuseWaiting();
  }

  private void refuseWaiting() {
    long now = services.nanoClock().getAsLong();
    calls.forEach(call -> call.instanceStops(now));
  }

  /** Returns the calls in progress. */
  public int size() {
    return calls.size();
  }
}
