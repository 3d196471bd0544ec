package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.dispatch.CallUrgency;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.queue.QueueId;
import org.magnoliavale.internal.queue.WaitingCall;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.tenant.CallerIdentity;

/**
 * The properties of a call that are fixed before its first attempt, and the time limits that follow
 * from them.
 *
 * @param request the caller's request
 * @param metadata its parsed headers
 * @param route the matching route
 * @param caller whom the call belongs to
 * @param service the service that the call is sent to
 * @param connectionLimit connections that an endpoint of the service accepts from all instances
 * @param configurationVersion version of the configuration that route and service come from
 * @param crashKeys what is suspected if an endpoint crashes with the call in flight
 * @param isDelayTolerant whether the call can wait until its model is loaded and still be answered
 *     in time; it is less urgent than other calls of the same priority
 */
record CallPlan(
    CallRequest request,
    CallMetadata metadata,
    Route route,
    CallerIdentity caller,
    ServiceId service,
    int connectionLimit,
    long configurationVersion,
    CrashKeys crashKeys,
    boolean isDelayTolerant) {
  /** Minimum time without a response head before another endpoint is asked. */
  private static final long MINIMUM_SILENCE_TIMEOUT_MS = 350;

  /** Multiple of the target latency that a stream may take until its response head. */
  private static final double STREAM_SILENCE_FACTOR = 1.7;

  /** Multiple of the target latency that an idempotent call may take until its response head. */
  private static final double IDEMPOTENT_SILENCE_FACTOR = 2.0;

  private static final int LEAST_URGENT = 9;

  /**
   * Callers abandon a stream that does not start within this time or {@link #CALLER_WAIT_FACTOR}
   * target latencies, whichever is longer.
   */
  private static final long MINIMUM_CALLER_WAIT_MS = 2_000;

  /** Multiple of the target latency that callers wait for the start of a stream. */
  private static final int CALLER_WAIT_FACTOR = 4;

  /** Longest pauses that are on time that callers wait for the start of a stream. */
  private static final int CALLER_WAIT_GAPS = 8;

  /** Time until the first event or the response of an endpoint that has nothing else to do. */
  private static final long MINIMUM_ANSWER_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Share of the target latency by which a call is due before its latest start in time. */
  private static final double DUE_BEFORE_TARGET_SHARE = 0.1;

  /** Weight of calls without a tenant; they all count as of one. */
  private static final double NO_TENANT_WEIGHT = 1;

  /** Work that a call without a number of tokens counts for, in tokens. */
  private static final int PLAIN_CALL_TOKENS = 1_000;

  /** Priority in the queue of calls whose response has begun: before all others. */
  private static final int RESPONSE_STARTED_PRIORITY = -1;

  /** Share of the time that the caller waits after which a waiting call is rejected. */
  private static final double CALLER_WAIT_SHARE = 0.4;

  /** Share of the time until the deadline after which a waiting call is rejected. */
  private static final double DEADLINE_SHARE = 0.6;

  /**
   * As {@link #CALLER_WAIT_SHARE}, for delay-tolerant calls: a retry by the caller would not be
   * served sooner.
   */
  private static final double DELAY_TOLERANT_CALLER_WAIT_SHARE = 0.55;

  /** As {@link #DEADLINE_SHARE}, for delay-tolerant calls. */
  private static final double DELAY_TOLERANT_DEADLINE_SHARE = 0.7;

  /**
   * Returns the deadline: the earlier of the route's timeout and the time that the caller waits.
   */
  long deadlineNanos() {
    Duration routeTime = route.timeout();
    Duration callerTime = metadata.timeRemaining().orElse(routeTime);
    // Compared before the conversion: a time of a caller may be too long for nanoseconds.
    Duration time = callerTime.compareTo(routeTime) < 0 ? callerTime : routeTime;
    return request.arrivedNanos() + (time.isNegative() ? 0 : time.toNanos());
  }

  /** Returns the time until the deadline, 0 if it has passed. */
  Duration timeRemaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, deadlineNanos() - nowNanos));
  }

  /** Returns whether the caller has a part of the stream already. */
  boolean takesUpStream() {
    return route.isResumableStream() && metadata.lastEventId().isPresent();
  }

  private long targetNanos() {
    return request.arrivedNanos() + route.targetLatency().toNanos();
  }

  /** Returns how soon the call must be answered, from now on. */
  CallUrgency urgencyAt(long nowNanos) {
    return new CallUrgency(
        Duration.ofNanos(targetNanos() - nowNanos),
        timeRemaining(nowNanos),
        route.targetGap(),
        priority());
  }

  /** Returns the priority of the call's tenant, or else that of its route; 0 is most urgent. */
  int priority() {
    return caller
        .knownTenant()
        .map(Tenant::priority)
        .orElse(OptionalInt.empty())
        .orElse(route.priority());
  }

  /** Returns the time without a response head after which an attempt is retried, 0 for never. */
  long silenceTimeoutNanos() {
    if (!route.isRetryable()) {
      return 0;
    }
    double factor =
        route.kind() == CallKind.IDEMPOTENT ? IDEMPOTENT_SILENCE_FACTOR : STREAM_SILENCE_FACTOR;
    double milliseconds =
        Math.max(MINIMUM_SILENCE_TIMEOUT_MS, route.targetLatency().toMillis() * factor);
    return TimeUnit.MILLISECONDS.toNanos((long) milliseconds);
  }

  /** Returns the urgency that is sent to endpoints, 0 (most urgent) to 9. */
  int urgency() {
    return Math.min(LEAST_URGENT, 1 + 2 * priority() + (isDelayTolerant() ? 1 : 0));
  }

  /** Returns how long the call may wait for an endpoint of which nothing is known. */
  long maximumWaitNanos() {
    long callerWaitMs =
        Math.max(MINIMUM_CALLER_WAIT_MS, CALLER_WAIT_FACTOR * route.targetLatency().toMillis());
    double callerWaitShare =
        isDelayTolerant() ? DELAY_TOLERANT_CALLER_WAIT_SHARE : CALLER_WAIT_SHARE;
    double deadlineShare = isDelayTolerant() ? DELAY_TOLERANT_DEADLINE_SHARE : DEADLINE_SHARE;
    double limit =
        Math.min(
            TimeUnit.MILLISECONDS.toNanos(callerWaitMs) * callerWaitShare,
            (deadlineNanos() - request.arrivedNanos()) * deadlineShare);
    return (long) limit;
  }

  /** Takes back what the call was counted for in its tenant's quota. */
  void giveBackQuota(QuotaCheck quota, long nowNanos) {
    caller
        .knownTenant()
        .ifPresent(tenant -> quota.giveBack(tenant, metadata.generation(), nowNanos));
  }

  /** Returns when the caller leaves if no response has begun. */
  private long callerLeavesNanos() {
    if (route.kind() != CallKind.STREAM) {
      return deadlineNanos();
    }
    long waitMs =
        Math.max(
            Math.max(MINIMUM_CALLER_WAIT_MS, CALLER_WAIT_FACTOR * route.targetLatency().toMillis()),
            CALLER_WAIT_GAPS * route.targetGap().toMillis());
    long leavesNanos = request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    return leavesNanos - deadlineNanos() < 0 ? leavesNanos : deadlineNanos();
  }

  private long dueNanos() {
    double margin = DUE_BEFORE_TARGET_SHARE * route.targetLatency().toNanos();
    return targetNanos() - MINIMUM_ANSWER_TIME_NANOS - (long) margin;
  }

  /**
   * Returns the call as one that waits for an endpoint.
   *
   * @param responseStarted whether a response has begun, which then has to go on at once
   * @param version the only software version that may serve it; empty if any may
   */
  WaitingCall waitingCall(
      long number, boolean responseStarted, Optional<SoftwareVersion> version, long nowNanos) {
    long latestStartNanos =
        (responseStarted ? deadlineNanos() : targetNanos()) - MINIMUM_ANSWER_TIME_NANOS;
    return new WaitingCall(
        number,
        new QueueId(service, metadata.generation().map(GenerationRequest::artifact), version),
        caller.knownTenant().map(Tenant::id),
        caller.knownTenant().map(Tenant::weight).orElse(NO_TENANT_WEIGHT),
        responseStarted ? RESPONSE_STARTED_PRIORITY : urgencyAt(nowNanos).priority(),
        metadata
            .generation()
            .map(generation -> generation.promptTokens() + generation.expectedOutputTokens())
            .orElse(PLAIN_CALL_TOKENS),
        responseStarted ? nowNanos : dueNanos(),
        latestStartNanos,
        (responseStarted ? deadlineNanos() : callerLeavesNanos()) - MINIMUM_ANSWER_TIME_NANOS);
  }

  String attemptId() {
    return metadata.attemptId();
  }

  String artifactText() {
    return metadata.generation().map(GenerationRequest::artifact).map(Object::toString).orElse("-");
  }
}
