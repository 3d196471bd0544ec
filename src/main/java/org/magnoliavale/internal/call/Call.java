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
import org.magnoliavale.internal.dispatch.AttemptOutcome;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.dispatch.SelectionCriteria;

/**
 * One call from its arrival to its answer: chooses endpoints, sends attempts, and passes the answer
 * on. All events come in through synchronized methods; time comes from outside.
 *
 * <p>A call that may not be repeated is sent again only after the endpoint said that it did not run
 * it, or when no byte left. A resumable stream goes on at another endpoint after the last whole
 * event that the caller was given.
 */
final class Call {
  /** Most endpoints that are tried when none of them ran the call. */
  private static final int MAXIMUM_REFUSALS = 4;

  /** Time left below which nothing is sent any more. */
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

  /** When the wait for an endpoint began: the arrival, or the loss of an endpoint that ran it. */
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

  /** Sends the first attempt. */
  synchronized void start(long nowNanos) {
    state = State.WAITING;
    services.budget().recordRequest(plan.service(), nowNanos);
    plan.facts()
        .generation()
        .map(GenerationRequest::artifact)
        .ifPresent(artifact -> services.waiting().asked(artifact, plan.isPatient(), nowNanos));
    if (services.containment().isStopped(plan.fingerprint())) {
      refuse(ErrorCode.REQUEST_CRASHES_ENDPOINTS, "the request crashes endpoints", nowNanos);
      return;
    }
    dispatch(nowNanos);
  }

  /** Tries again if the call waits, and ends it when its time is over. */
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
      giveUp("artifact is not held", nowNanos);
    }
  }

  /** Tries again at once, because endpoints have changed. */
  synchronized void endpointsChanged(long nowNanos) {
    if (state == State.WAITING) {
      dispatch(nowNanos);
    }
  }

  /** Ends the call if it waits, because this instance is about to end. */
  synchronized void instanceStops(long nowNanos) {
    if (state == State.WAITING) {
      giveUp("the instance is stopping", nowNanos);
    }
  }

  /** Stops the work for a caller that has left. */
  synchronized void callerLeft(long nowNanos) {
    if (state == State.ENDED) {
      return;
    }
    log.callerLeft(runs, begun);
    services.metrics().abandoned().inc();
    cancelAttempt(AttemptOutcome.INCONCLUSIVE, nowNanos);
    end();
    caller.abort();
  }

  private void dispatch(long nowNanos) {
    SelectionCriteria selection =
        new SelectionCriteria(plan.service(), plan.facts().generation(), Set.copyOf(excluded));
    switch (services.endpoints().choose(selection, plan.connectionLimit(), nowNanos)) {
      case EndpointChoice.Selected send -> send(send, nowNanos);
      case EndpointChoice.AwaitArtifact(Artifact artifact) -> await(artifact);
      case EndpointChoice.Unavailable(String reason) -> unavailable(reason, nowNanos);
    }
  }

  private void send(EndpointChoice.Selected choice, long nowNanos) {
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
      // Every endpoint was tried once; a later try may find room.
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
   * Takes an endpoint's word that it did not run the call.
   *
   * @param elsewhere whether the endpoint must not be tried again
   */
  void refused(Attempt source, String reason, boolean elsewhere, long nowNanos) {
    if (elsewhere) {
      excluded.add(source.endpoint().identity());
    }
    notRun(source, reason, services.budget().trySpend(plan.service(), nowNanos), nowNanos);
  }

  /** Takes the end of an attempt of which no byte left. */
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

  /** Takes the end of an attempt that the endpoint may have run; tells whether it is repeated. */
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

  /** Notes that the caller gets a head now; tells whether it has none yet. */
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

  /** Ends the call with the endpoint's own whole answer. */
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
    cancelAttempt(AttemptOutcome.INCONCLUSIVE, nowNanos);
    stopWaiting();
    if (begun) {
      breakOff("timeout");
    } else if (sent || runs > 0) {
      fail(ErrorCode.DEADLINE_EXCEEDED, "no answer in time");
    } else {
      refuse(ErrorCode.MODEL_UNAVAILABLE, "not served in time", nowNanos);
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

  /** Ends a call that has not run and will not run. */
  private void refuse(ErrorCode code, String reason, long nowNanos) {
    services.metrics().refused().inc();
    log.refused(reason, refusals, nowNanos);
    answerProblem(
        ErrorCode.MODEL_UNAVAILABLE,
        MagnoliavaleException.of(code, reason)
            .withRetryAfter(returnDelay.of(plan.id(), plan.left(nowNanos))));
  }

  /** Ends a call that may have run. */
  void fail(ErrorCode code, String reason) {
    services.metrics().failed().inc();
    log.failed(reason, runs, lastReason);
    answerProblem(code, MagnoliavaleException.of(code, reason));
  }

  /** Ends a stream that can't be completed. */
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

  private void cancelAttempt(AttemptOutcome result, long nowNanos) {
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
