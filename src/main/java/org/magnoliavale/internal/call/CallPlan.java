package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;

/**
 * What is settled about a call before it is sent.
 *
 * @param request the call
 * @param facts what its headers say
 * @param route the route that takes it
 * @param service the service that it goes to
 * @param connectionLimit connections that an endpoint of the service accepts in all
 * @param configurationVersion the version that settled this
 * @param fingerprint recognises the request when it comes again
 */
record CallPlan(
    CallRequest request,
    CallFacts facts,
    Route route,
    ServiceId service,
    int connectionLimit,
    long configurationVersion,
    Fingerprint fingerprint) {
  /** Shortest time after which a silent attempt of a repeatable call is given up. */
  private static final long SHORTEST_SILENCE_MS = 350;

  /** Share of the target latency after which a silent attempt of a stream is given up. */
  private static final double STREAM_SILENCE_SHARE = 1.7;

  private static final double SAFE_SILENCE_SHARE = 2.0;
  private static final int LEAST_URGENT = 9;

  /** Callers leave a stream that does not begin within this time, or the targets below. */
  private static final long SHORTEST_PATIENCE_MS = 2_000;

  private static final int PATIENCE_TARGETS = 4;

  /** Share of the caller's patience for which a call waits before it is told to come back. */
  private static final double PATIENCE_SHARE = 0.4;

  private static final double DEADLINE_SHARE = 0.6;

  /** The same for calls that can wait for a load; coming back would not serve them sooner. */
  private static final double PATIENT_PATIENCE_SHARE = 0.55;

  private static final double PATIENT_DEADLINE_SHARE = 0.7;

  /** Target latency from which a stream yields to others of its rank, in milliseconds. */
  private static final long PATIENT_TARGET_MS = 4_000;

  /** Returns the moment by which the call must be answered. */
  long deadlineNanos() {
    long routeNanos = route.timeout().toNanos();
    long callerNanos = facts.timeRemaining().map(time -> time.toNanos()).orElse(routeNanos);
    return request.arrivedNanos() + Math.min(routeNanos, callerNanos);
  }

  /** Returns the time until then. */
  Duration left(long nowNanos) {
    return Duration.ofNanos(Math.max(0, deadlineNanos() - nowNanos));
  }

  /** Returns the silence after which an attempt is given up for another, 0 for never. */
  long silenceNanos() {
    if (!route.isRepeatable()) {
      return 0;
    }
    double share = route.kind() == CallKind.SAFE ? SAFE_SILENCE_SHARE : STREAM_SILENCE_SHARE;
    double milliseconds = Math.max(SHORTEST_SILENCE_MS, route.targetLatency().toMillis() * share);
    return TimeUnit.MILLISECONDS.toNanos((long) milliseconds);
  }

  /** Returns the urgency that endpoints are told, 0 first. */
  int urgency() {
    return Math.min(LEAST_URGENT, 1 + 2 * route.priority() + (isPatient() ? 1 : 0));
  }

  /** Tells whether the call can wait for a load and still be answered in time. */
  boolean isPatient() {
    return route.targetLatency().toMillis() >= PATIENT_TARGET_MS;
  }

  /** Returns how long the call may wait for an endpoint that can take it. */
  long longestWaitNanos() {
    long patienceMs =
        Math.max(SHORTEST_PATIENCE_MS, PATIENCE_TARGETS * route.targetLatency().toMillis());
    double ofPatience = isPatient() ? PATIENT_PATIENCE_SHARE : PATIENCE_SHARE;
    double ofDeadline = isPatient() ? PATIENT_DEADLINE_SHARE : DEADLINE_SHARE;
    double limit =
        Math.min(
            TimeUnit.MILLISECONDS.toNanos(patienceMs) * ofPatience,
            (deadlineNanos() - request.arrivedNanos()) * ofDeadline);
    return (long) limit;
  }

  String id() {
    return facts.attemptId();
  }

  String artifactText() {
    return facts.generation().map(GenerationRequest::artifact).map(Object::toString).orElse("-");
  }
}
