package org.magnoliavale.internal.call;

import java.util.Optional;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/**
 * The ways in which a call ends: each counts the outcome, logs it, ends the call and completes the
 * caller's response. Guarded by its call.
 */
final class CallCompletion {
  private final CallContext context;
  private final CallPlan plan;
  private final CallerResponse caller;
  private final CallLog log;
  private final Runnable end;

  /** The last small error response of an endpoint. */
  private Optional<EndpointAnswer> keptError = Optional.empty();

  /** Returns the completion of a call; {@code end} removes the call from those in progress. */
  CallCompletion(CallContext context, CallPlan plan, CallerResponse caller, Runnable end) {
    this.context = context;
    this.plan = plan;
    this.caller = caller;
    this.log = new CallLog(plan);
    this.end = end;
  }

  /** Ends the call with the endpoint's complete response. */
  void respond(EndpointAnswer answer) {
    context.metrics().answered().inc();
    log.answered(answer.status(), answer.body().remaining());
    endWith(() -> caller.respond(answer.status(), answer.headers(), answer.body()));
  }

  /** Ends the call after the last event of a stream. */
  void completeStream(Optional<Long> lastEvent) {
    context.metrics().answered().inc();
    log.streamEnded(lastEvent);
    endWith(caller::finish);
  }

  /** Ends a call that has not been executed; its caller may retry. */
  void reject(Rejection rejection, long nowNanos) {
    context.metrics().rejected().inc();
    log.rejected(rejection, nowNanos);
    context.giveBackQuota(plan, nowNanos);
    respondWithProblem(
        ErrorCode.MODEL_UNAVAILABLE,
        MagnoliavaleException.of(rejection.code(), rejection.reason())
            .withRetryAfter(rejection.delay()));
  }

  /** Keeps an endpoint's error response for the case that the call would fail. */
  void keepError(EndpointAnswer answer) {
    keptError = Optional.of(answer);
  }

  /** Ends a call that may have been executed, with the endpoint's own error if one was kept. */
  void fail(ErrorCode code, String reason, int possibleExecutions, String lastFailure) {
    if (keptError.isPresent()) {
      respond(keptError.get());
      return;
    }
    context.metrics().failed().inc();
    log.failed(reason, possibleExecutions, lastFailure);
    respondWithProblem(code, MagnoliavaleException.of(code, reason));
  }

  /** Aborts a response that has started but cannot be completed. */
  void abort(String reason, String lastFailure, Optional<Long> lastEvent) {
    context.metrics().failed().inc();
    log.responseAborted(reason, lastFailure, lastEvent, context.nanoClock().getAsLong());
    endWith(caller::abort);
  }

  /** Ends a call whose caller has disconnected. */
  void abandon(int possibleExecutions, boolean responseStarted) {
    log.callerDisconnected(possibleExecutions, responseStarted);
    context.metrics().abandoned().inc();
    endWith(caller::abort);
  }

  private void respondWithProblem(ErrorCode status, MagnoliavaleException problem) {
    endWith(
        () ->
            LocalResponses.sendProblem(
                context.protocol(), plan.attemptId(), caller, status.httpStatus(), problem));
  }

  /** Ends the call and then completes the caller's response, also if the former throws. */
  private void endWith(Runnable answer) {
    try {
      end.run();
    } finally {
      answer.run();
    }
  }
}
