package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.CallResult;
import org.magnoliavale.internal.dispatch.Choice;
import org.magnoliavale.internal.dispatch.Generation;
import org.magnoliavale.internal.dispatch.Selection;

/**
 * One call from arrival to response: selects endpoints, sends attempts and forwards the response.
 *
 * <p>A call waits for an endpoint, is sent, and may return to waiting until it has ended. Its state
 * is guarded by its own lock: events arrive through synchronized methods, and {@link Attempt} holds
 * the same lock when it calls back. Times are monotonic, in nanoseconds, and passed in.
 *
 * <p>A non-idempotent request is retried only after the endpoint stated that it did not execute it,
 * or when no byte of it was sent. A resumable stream continues at another endpoint after the last
 * complete event that was forwarded to the caller.
 *
 * <p>A call that has certainly not been executed is refused with status 503 and Retry-After; one
 * that may have been executed ends with the endpoint's own error response, with 502, or with 504 at
 * its deadline. Once the response has started, a failure closes the caller's connection.
 */
final class Call {
  /** Limit of retries after attempts that the endpoints did not execute. */
  private static final int MAXIMUM_REFUSALS = 4;

  /** Minimum time until the deadline for a further attempt. */
  private static final Duration SHORTEST_ATTEMPT = Duration.ofMillis(15);

  private enum State {
    NEW,
    WAITING,
    SENT,
    ENDED
  }

  private final CallServices services;
  private final CallPlan plan;
  private final CallerPort caller;
  private final Runnable ended;
  private final CallLog log;
  private final Set<EndpointIdentity> excluded = new HashSet<>();
  private State state = State.NEW;
  private Optional<Artifact> awaited = Optional.empty();
  private Attempt attempt;
  private int runs;
  private int refusals;
  private boolean begun;
  private ReturnDelay returnDelay = ReturnDelay.FULL;
  private Optional<Long> lastEvent;
  private String lastReason = "";

  /** Start of the wait for an endpoint: arrival, or the last failed attempt that may have run. */
  private long waitSinceNanos;

  Call(CallServices services, CallPlan plan, CallerPort caller, Runnable ended) {
    this.services = services;
    this.plan = plan;
    this.caller = caller;
    this.ended = ended;
    this.log = new CallLog(plan);
    this.lastEvent = plan.facts().lastEventId();
    this.waitSinceNanos = plan.request().arrivedNanos();
  }

  CallPlan plan() {
    return plan;
  }

  CallServices services() {
    return services;
  }

  CallerPort caller() {
    return caller;
  }

  /** Starts the call: sends the first attempt, or waits for an endpoint. */
  synchronized void start(long nowNanos) {
    state = State.WAITING;
    services.budget().request(plan.service(), nowNanos);
    plan.facts()
        .generation()
        .map(Generation::artifact)
        .ifPresent(artifact -> services.waiting().asked(artifact, plan.isPatient(), nowNanos));
    if (services.containment().isStopped(plan.fingerprint())) {
      refuse(
          ErrorCode.REQUEST_CRASHES_ENDPOINTS,
          "request was in flight in repeated endpoint crashes",
          nowNanos);
      return;
    }
    dispatch(nowNanos);
  }

  /** Checks the time limits, and tries to send the call if it waits. */
  synchronized void tick(long nowNanos) {
    if (state == State.NEW || state == State.ENDED) {
      return;
    }
    if (nowNanos - plan.deadlineNanos() >= 0) {
      expire(nowNanos);
      return;
    }
    switch (state) {
      case WAITING -> {
        dispatch(nowNanos);
        checkWait(nowNanos);
      }
      case SENT -> attempt.tick(nowNanos);
      case NEW, ENDED -> {}
    }
  }

  private void checkWait(long nowNanos) {
    boolean tooLong = nowNanos - waitSinceNanos > plan.longestWaitNanos();
    if (state == State.WAITING && tooLong) {
      returnDelay = awaited.isPresent() ? ReturnDelay.LOAD : ReturnDelay.FULL;
      giveUp("no endpoint available in time", nowNanos);
    }
  }

  /** Tries to send the call if it waits, because endpoints have changed. */
  synchronized void endpointsChanged(long nowNanos) {
    if (state == State.WAITING) {
      dispatch(nowNanos);
    }
  }

  /** Ends the call if it waits, because this instance is stopping. */
  synchronized void instanceStops(long nowNanos) {
    if (state == State.WAITING) {
      giveUp("the instance is stopping", nowNanos);
    }
  }

  /** Cancels the call, because its caller has disconnected. */
  synchronized void callerLeft(long nowNanos) {
    if (state == State.ENDED) {
      return;
    }
    log.callerLeft(runs, begun);
    services.metrics().abandoned().inc();
    cancelAttempt(CallResult.ABANDONED, nowNanos);
    end();
    caller.abort();
  }

  private void dispatch(long nowNanos) {
    Selection selection =
        new Selection(plan.service(), plan.facts().generation(), Set.copyOf(excluded));
    switch (services.endpoints().choose(selection, plan.connectionLimit(), nowNanos)) {
      case Choice.Send send -> send(send, nowNanos);
      case Choice.AwaitArtifact(Artifact artifact) -> await(artifact);
      case Choice.Unavailable(String reason) -> unavailable(reason, nowNanos);
    }
  }

  private void send(Choice.Send choice, long nowNanos) {
    stopWaiting();
    Duration left = plan.left(nowNanos);
    state = State.SENT;
    attempt = new Attempt(this, choice.endpoint(), nowNanos, lastEvent);
    log.sent(choice, runs + refusals + 1, left);
    HttpFields headers =
        services
            .protocol()
            .outgoing(
                plan.request().headers(),
                new Forwarding(choice.endpoint().identity(), left, plan.urgency(), lastEvent));
    attempt.send(
        new AttemptOrder(
            choice.endpoint(),
            plan.request().method(),
            plan.request().pathQuery(),
            headers,
            plan.request().body()));
  }

  private void await(Artifact artifact) {
    if (awaited.isPresent()) {
      return;
    }
    state = State.WAITING;
    awaited = Optional.of(artifact);
    log.waits(artifact);
    services.waiting().waits(artifact);
  }

  private void unavailable(String reason, long nowNanos) {
    stopWaiting();
    if (!excluded.isEmpty() && refusals < MAXIMUM_REFUSALS && runs == 0) {
      // Every endpoint has been tried once; a later attempt may find a free slot.
      refusals++;
      excluded.clear();
      state = State.WAITING;
      return;
    }
    giveUp(reason, nowNanos);
  }

  private void stopWaiting() {
    awaited.ifPresent(services.waiting()::waitsNoMore);
    awaited = Optional.empty();
  }

  /**
   * Handles an attempt that the endpoint states it did not execute.
   *
   * @param elsewhere whether the endpoint is excluded from further attempts
   */
  void refused(Attempt source, String reason, boolean elsewhere, long nowNanos) {
    if (elsewhere) {
      excluded.add(source.endpoint().identity());
    }
    notRun(source, reason, services.budget().trySpend(plan.service(), nowNanos), nowNanos);
  }

  /** Handles an attempt that failed before any byte was sent. */
  void unreachable(Attempt source, String reason, long nowNanos) {
    excluded.add(source.endpoint().identity());
    notRun(source, reason, true, nowNanos);
  }

  private void notRun(Attempt source, String reason, boolean affordable, long nowNanos) {
    refusals++;
    lastReason = reason;
    state = State.WAITING;
    if (affordable && refusals <= MAXIMUM_REFUSALS && hasTime(nowNanos)) {
      logRepeat(source, reason);
      dispatch(nowNanos);
    } else {
      giveUp(reason, nowNanos);
    }
  }

  /** Handles a failed attempt that may have been executed; returns whether it is retried. */
  boolean mayHaveRun(Attempt source, String reason, long nowNanos) {
    runs++;
    lastReason = reason;
    excluded.add(source.endpoint().identity());
    boolean repeat =
        plan.route().isRepeatable()
            && runs < plan.route().attempts()
            && hasTime(nowNanos)
            && !services.containment().isStopped(plan.fingerprint())
            && services.budget().trySpend(plan.service(), nowNanos);
    if (!repeat) {
      return false;
    }
    logRepeat(source, reason);
    waitSinceNanos = nowNanos;
    state = State.WAITING;
    dispatch(nowNanos);
    return true;
  }

  private void logRepeat(Attempt source, String reason) {
    services.metrics().repeated().inc();
    log.sendsAgain(source.endpoint().identity(), reason, runs, refusals, lastEvent);
  }

  private boolean hasTime(long nowNanos) {
    return plan.deadlineNanos() - nowNanos > SHORTEST_ATTEMPT.toNanos();
  }

  /** Marks the response as started; returns whether it had not been started before. */
  boolean beginOnce() {
    boolean first = !begun;
    begun = true;
    return first;
  }

  boolean hasBegun() {
    return begun;
  }

  void passedEvent(Optional<Long> id) {
    if (id.isPresent()) {
      lastEvent = id;
    }
  }

  boolean isCurrent(Attempt candidate) {
    return state == State.SENT && attempt == candidate;
  }

  /** Ends the call with the endpoint's complete response. */
  void answer(int status, HttpFields headers, ByteBuffer body) {
    services.metrics().answered().inc();
    log.answered(status, body.remaining());
    end();
    caller.answer(status, headers, body);
  }

  /** Ends the call after the last event of a stream. */
  void finish() {
    services.metrics().answered().inc();
    log.streamEnded(lastEvent);
    end();
    caller.finish();
  }

  private void expire(long nowNanos) {
    boolean sent = state == State.SENT;
    cancelAttempt(CallResult.ABANDONED, nowNanos);
    stopWaiting();
    if (begun) {
      breakOff("timeout");
    } else if (sent || runs > 0) {
      fail(ErrorCode.DEADLINE_EXCEEDED, "no response before the deadline");
    } else {
      refuse(ErrorCode.MODEL_UNAVAILABLE, "no endpoint available before the deadline", nowNanos);
    }
  }

  private void giveUp(String reason, long nowNanos) {
    stopWaiting();
    if (begun) {
      breakOff(reason);
    } else if (runs > 0) {
      fail(ErrorCode.UPSTREAM_FAILED, reason);
    } else {
      refuse(ErrorCode.MODEL_UNAVAILABLE, reason, nowNanos);
    }
  }

  /** Ends a call that has not been executed. */
  private void refuse(ErrorCode code, String reason, long nowNanos) {
    services.metrics().refused().inc();
    log.refused(reason, refusals, nowNanos);
    answerProblem(
        ErrorCode.MODEL_UNAVAILABLE,
        MagnoliavaleException.of(code, reason)
            .withRetryAfter(returnDelay.of(plan.id(), plan.left(nowNanos))));
  }

  /** Ends a call that may have been executed. */
  void fail(ErrorCode code, String reason) {
    services.metrics().failed().inc();
    log.failed(reason, runs, lastReason);
    answerProblem(code, MagnoliavaleException.of(code, reason));
  }

  /** Aborts a response that has started but cannot be completed. */
  void breakOff(String reason) {
    services.metrics().failed().inc();
    log.brokenOff(reason, lastEvent);
    end();
    caller.abort();
  }

  private void answerProblem(ErrorCode status, MagnoliavaleException problem) {
    end();
    OwnAnswers.problem(services.protocol(), plan.id(), caller, status.httpStatus(), problem);
  }

  private void cancelAttempt(CallResult result, long nowNanos) {
    if (state == State.SENT) {
      attempt.cancel(result, nowNanos);
    }
  }

  private void end() {
    stopWaiting();
    state = State.ENDED;
    ended.run();
  }

  long now() {
    return services.nanoClock().getAsLong();
  }
}
