package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.dispatch.AttemptOutcome;
import org.magnoliavale.internal.dispatch.EndpointChoice;

/**
 * One call from arrival to response: selects endpoints, sends attempts and forwards the response.
 *
 * <p>A call waits for an endpoint, is sent, and may return to waiting until it has ended. Its state
 * is guarded by its own lock: events arrive through synchronized methods, and {@link Attempt} holds
 * the same lock when it calls back. Times are monotonic, in nanoseconds, and passed in.
 *
 * <p>A non-idempotent request is retried only after the endpoint stated that it did not execute it,
 * or when no byte of it was sent. A resumable stream continues at another endpoint after the last
 * complete event that was forwarded to the caller, if that runs the software version that began the
 * stream; an attempt at a silent or slow endpoint is kept until another one has begun to answer.
 *
 * <p>A call that has certainly not been executed is rejected with status 503 and Retry-After; one
 * that may have been executed ends with the endpoint's own error response, with 502, or with 504 at
 * its deadline. Once the response has started, a failure closes the caller's connection.
 */
final class Call {
  private enum State {
    NEW,
    WAITING,
    SENT,
    ENDED
  }

  private static final String INTERNAL_ERROR = "internal error";

  private final CallContext context;
  private final CallPlan plan;
  private final CallerResponse caller;
  private final Consumer<Call> onEnd;
  private final CallLog log;
  private final CallCompletion completion;
  private final ResponseProgress progress;
  private final StreamStart streamStart;
  private final EndpointSelection selection;
  private final RetryAllowance retries;
  private final OtherEndpointTries otherEndpoints;
  private State state = State.NEW;
  private final CallWait wait;
  private final AttemptsInProgress attempts = new AttemptsInProgress();
  private final FailedAttempts failedAttempts;
  private final PeerPassing peerPassing;

  Call(
      CallContext context,
      CallPlan plan,
      CallerResponse caller,
      BooleanSupplier maySend,
      Consumer<Call> onEnd) {
    this.context = context;
    this.plan = plan;
    this.caller = caller;
    this.progress = new ResponseProgress(plan.metadata().lastEventId());
    this.streamStart = new StreamStart(this, progress);
    this.selection = new EndpointSelection(context, plan, progress);
    this.retries = new RetryAllowance(context, plan, maySend);
    this.otherEndpoints = new OtherEndpointTries(this, attempts, selection, retries);
    this.failedAttempts = new FailedAttempts(this, attempts, selection, retries);
    this.peerPassing = new PeerPassing(this, attempts, selection, retries);
    this.wait = new CallWait(this);
    this.onEnd = onEnd;
    this.log = new CallLog(plan);
    this.completion = new CallCompletion(context, plan, caller, this::end);
  }

  CallPlan plan() {
    return plan;
  }

  CallContext context() {
    return context;
  }

  CallerResponse caller() {
    return caller;
  }

  /**
   * Starts the call: sends the first attempt, or waits for an endpoint. A call whose time was used
   * while its request was read is rejected.
   */
  synchronized void start(long nowNanos) {
    state = State.WAITING;
    boolean throughPeer = peerPassing.isNeeded();
    if (!throughPeer) {
      context.recordRequest(plan, nowNanos);
    }
    if (nowNanos - plan.deadlineNanos() >= 0) {
      expire(nowNanos);
    } else if (throughPeer) {
      dispatch(nowNanos);
    } else if (plan.takesUpStream()) {
      streamStart.findOrigin();
    } else {
      enter(nowNanos);
    }
  }

  /** Sends the first attempt, or waits for an endpoint. */
  void enter(long nowNanos) {
    if (wait.isBehindOthers(nowNanos)) {
      wait.behindOthers(nowNanos);
      checkWait(nowNanos);
    } else {
      dispatch(nowNanos);
    }
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
        if (!wait.isQueued()) {
          dispatch(nowNanos);
        }
        checkWait(nowNanos);
      }
      case SENT -> attempts.latest().ifPresent(attempt -> attempt.tick(nowNanos));
      case NEW, ENDED -> {}
    }
  }

  /** Gives the call up if it waits and can't be answered in time. */
  private void checkWait(long nowNanos) {
    if (state == State.WAITING && !rejectIfCrashing(nowNanos)) {
      boolean executed = progress.hasStarted() || retries.mayHaveBeenExecuted();
      wait.reasonToGiveUp(executed, nowNanos).ifPresent(reason -> giveUp(reason, nowNanos));
    }
  }

  /** Tries to send the call if it waits: an endpoint may take it now. */
  synchronized void endpointsChanged(long nowNanos) {
    if (state == State.WAITING) {
      dispatch(nowNanos);
    }
  }

  /** Ends the call if it waits and no response has begun, because this instance is stopping. */
  synchronized void instanceStopping(long nowNanos) {
    if (state == State.WAITING && !progress.hasStarted()) {
      giveUp("the instance is stopping", nowNanos);
    }
  }

  /** Logs that the call is in progress although the instance ends. */
  synchronized void logUnfinished(long nowNanos) {
    log.unfinished(attempts.latest().map(Attempt::identity), progress, nowNanos);
  }

  /**
   * Ends the call after an unexpected exception in one of its steps, or of two attempts only the
   * one that the step belongs to, by default the newer one.
   */
  synchronized void failedUnexpectedly(Throwable failure, String step, Optional<Attempt> source) {
    context.metrics().failures().record(failure, log.failedUnexpectedly(step));
    if (state == State.ENDED) {
      return;
    }
    if (attempts.isPair()) {
      Attempt ended = source.or(attempts::latest).orElseThrow();
      ended.cancel(AttemptOutcome.INCONCLUSIVE, now());
      attempts.removeEnded(ended);
      failedAttempts.recordPossibleExecution(ended, INTERNAL_ERROR, now());
    } else {
      failOrAbort(ErrorCode.INTERNAL, INTERNAL_ERROR);
    }
  }

  /** Cancels the call, because its caller has disconnected. */
  synchronized void callerDisconnected(long nowNanos) {
    if (state == State.ENDED) {
      return;
    }
    attempts.cancel(AttemptOutcome.INCONCLUSIVE, nowNanos);
    completion.abandon(retries.possibleExecutions(), progress.hasStarted());
  }

  /** Returns what passes the call to peers. */
  PeerPassing peerPassing() {
    return peerPassing;
  }

  /** Returns the tries of other endpoints while the call is at a silent or slow one. */
  OtherEndpointTries otherEndpoints() {
    return otherEndpoints;
  }

  /** Sends the call, lets it wait, or gives it up. */
  void dispatch(long nowNanos) {
    if (streamStart.isFindingOrigin() || rejectIfCrashing(nowNanos)) {
      return;
    }
    if (peerPassing.isNeeded()) {
      peerPassing.pass(nowNanos);
      return;
    }
    switch (selection.choose(nowNanos)) {
      case EndpointChoice.Selected send -> send(send, nowNanos);
      case EndpointChoice.AwaitArtifact await -> {
        state = State.WAITING;
        wait.forArtifact(await.artifact(), nowNanos);
      }
      case EndpointChoice.Busy busy -> {
        state = State.WAITING;
        if (retries.allowsSecondRound()) {
          // An endpoint that was full may be the first one with room.
          selection.tried().clearExcluded();
        }
        wait.forRoom(busy.timeToRoom(), nowNanos);
        checkWait(nowNanos);
      }
      case EndpointChoice.NoEndpoint none -> {
        none.timeToNext().ifPresent(wait::tellTimeToNext);
        handleUnavailable(none.reason(), nowNanos);
      }
    }
  }

  /** Rejects a call that crashes endpoints, which becomes known only with time. */
  private boolean rejectIfCrashing(long nowNanos) {
    boolean crashing =
        !progress.hasStarted() && context.crashDetector().isBlocked(plan.crashKeys());
    if (crashing) {
      giveUp(ErrorCode.REQUEST_CRASHES_ENDPOINTS, "in flight in repeated crashes", nowNanos);
    }
    return crashing;
  }

  /** Sends the call to an endpoint; no other attempt is in progress. */
  private void send(EndpointChoice.Selected choice, long nowNanos) {
    send(begin(choice, new AttemptTarget.OfEndpoint(this, choice), nowNanos), choice, nowNanos);
  }

  /** Begins the only attempt in progress. */
  Attempt begin(EndpointChoice.Selected choice, AttemptTarget target, long nowNanos) {
    wait.sent(nowNanos);
    state = State.SENT;
    Attempt attempt = new Attempt(this, choice, target, nowNanos, progress.lastEvent());
    attempts.add(attempt);
    return attempt;
  }

  /** Sends the call to an endpoint beside its attempt in progress at a silent or slow one. */
  void sendBeside(EndpointChoice.Selected choice, long nowNanos) {
    AttemptTarget target = new AttemptTarget.OfEndpoint(this, choice);
    Attempt attempt = new Attempt(this, choice, target, nowNanos, progress.lastEvent());
    attempts.addBeside(attempt);
    send(attempt, choice, nowNanos);
  }

  private void send(Attempt attempt, EndpointChoice.Selected choice, long nowNanos) {
    int number = retries.possibleExecutions() + retries.refusals() + 1;
    log.sent(choice, number, plan.timeRemaining(nowNanos));
    streamStart.sentTo(choice.endpoint().softwareVersion());
    attempt.send(selection.request(choice, progress.lastEvent(), nowNanos));
  }

  private void handleUnavailable(String reason, long nowNanos) {
    wait.stop(nowNanos);
    if (retries.allowsSecondRound() && selection.tried().clearExcluded()) {
      // Every endpoint has been tried once; a later attempt may find a free slot.
      retries.recordRefusal();
      state = State.WAITING;
      return;
    }
    giveUp(reason, nowNanos);
  }

  /** Returns what follows attempts that fail. */
  FailedAttempts failedAttempts() {
    return failedAttempts;
  }

  /** Lets the call wait until it is sent. */
  void await() {
    state = State.WAITING;
  }

  /** Starts the time anew that a wait may last. */
  void restartWait(long nowNanos) {
    wait.restart(nowNanos);
  }

  /** Returns what the first event of the call's stream waits for. */
  StreamStart streamStart() {
    return streamStart;
  }

  /** Returns how far the response has come. */
  ResponseProgress progress() {
    return progress;
  }

  /** Returns the ways in which the call ends. */
  CallCompletion completion() {
    return completion;
  }

  private void expire(long nowNanos) {
    boolean sent = state == State.SENT;
    attempts.cancel(AttemptOutcome.INCONCLUSIVE, nowNanos);
    if (progress.hasStarted() || sent || retries.mayHaveBeenExecuted()) {
      failOrAbort(
          ErrorCode.DEADLINE_EXCEEDED,
          progress.hasStarted() ? "timeout" : "no response before the deadline");
    } else {
      reject(ErrorCode.MODEL_UNAVAILABLE, "no endpoint available before the deadline", nowNanos);
    }
  }

  void giveUp(String reason, long nowNanos) {
    giveUp(ErrorCode.MODEL_UNAVAILABLE, reason, nowNanos);
  }

  void giveUp(ErrorCode code, String reason, long nowNanos) {
    if (progress.hasStarted() || retries.mayHaveBeenExecuted()) {
      failOrAbort(ErrorCode.UPSTREAM_FAILED, reason);
    } else {
      reject(code, reason, nowNanos);
    }
  }

  /** Ends a call that has not been executed. */
  private void reject(ErrorCode code, String reason, long nowNanos) {
    completion.reject(wait.rejection(code, reason, retries.refusals(), nowNanos), nowNanos);
  }

  /**
   * Ends a call that may have been executed and gets no whole response: a response that has started
   * is aborted; else the caller gets an endpoint's own error if there was one, or {@code code}.
   */
  void failOrAbort(ErrorCode code, String reason) {
    if (progress.hasStarted()) {
      completion.abort(reason, failedAttempts.lastFailure(), progress.lastEvent());
    } else {
      completion.fail(code, reason, retries.possibleExecutions(), failedAttempts.lastFailure());
    }
  }

  private void end() {
    // First: whatever the steps below meet, the call has ended and is answered.
    state = State.ENDED;
    onEnd.accept(this);
    streamStart.stop();
    wait.stop(now());
    attempts.cancel(AttemptOutcome.INCONCLUSIVE, now());
  }

  long now() {
    return context.nanoClock().getAsLong();
  }
}
