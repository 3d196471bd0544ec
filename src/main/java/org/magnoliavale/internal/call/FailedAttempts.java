package org.magnoliavale.internal.call;

import java.util.function.BooleanSupplier;

/**
 * What follows attempts of a call that end without an answer: another attempt goes on, the call is
 * sent again, or it is given up. Guarded by its call.
 */
final class FailedAttempts {
  private final Call call;
  private final AttemptsInProgress attempts;
  private final EndpointSelection selection;
  private final RetryAllowance retries;
  private final CallLog log;
  private String lastFailure = "";

  FailedAttempts(
      Call call, AttemptsInProgress attempts, EndpointSelection selection, RetryAllowance retries) {
    this.call = call;
    this.attempts = attempts;
    this.selection = selection;
    this.retries = retries;
    this.log = new CallLog(call.plan());
  }

  /** Returns why the last of them failed, empty if none has. */
  String lastFailure() {
    return lastFailure;
  }

  /**
   * Handles an attempt that the endpoint states it did not execute.
   *
   * @param excludeEndpoint whether the endpoint is excluded from further attempts
   */
  void attemptNotExecuted(Attempt source, String reason, boolean excludeEndpoint, long nowNanos) {
    // Beside a silent attempt, an endpoint that is full now may be asked again a little later.
    if (excludeEndpoint && !attempts.isPair()) {
      selection.tried().exclude(source.identity());
    }
    // What a peer rejects has reached no endpoint.
    BooleanSupplier withinBudget = () -> source.isAtPeer() || retries.spendRetry(nowNanos);
    retryOrGiveUp(source, reason, withinBudget, nowNanos);
  }

  /** Handles an attempt that failed before any byte was sent. */
  void attemptNotSent(Attempt source, String reason, long nowNanos) {
    selection.tried().exclude(source.identity());
    retryOrGiveUp(source, reason, () -> true, nowNanos);
  }

  private void retryOrGiveUp(
      Attempt source, String reason, BooleanSupplier withinBudget, long nowNanos) {
    retries.recordRefusal();
    lastFailure = reason;
    if (attempts.removeEnded(source)) {
      log.goingOnAtOtherEndpoint(source.identity(), reason);
      return;
    }
    call.await();
    if (withinBudget.getAsBoolean()
        && retries.allowsRetryAfterRefusal(call.progress().hasStarted(), nowNanos)) {
      logRetry(source, reason);
      call.dispatch(nowNanos);
    } else {
      call.giveUp(reason, nowNanos);
    }
  }

  /**
   * Handles a failed attempt that may have been executed; returns whether the call goes on, with a
   * retry or with another attempt in progress.
   */
  boolean retryIfAllowed(Attempt source, String reason, long nowNanos) {
    recordPossibleExecution(source, reason, nowNanos);
    if (attempts.removeEnded(source)) {
      log.goingOnAtOtherEndpoint(source.identity(), reason);
      return true;
    }
    // A peer makes all attempts that the call may have.
    if (source.isAtPeer()
        || !retries.allowsRetryAfterExecution(call.progress().hasStarted(), nowNanos)
        || !retries.spendRetry(nowNanos)) {
      return false;
    }
    logRetry(source, reason);
    call.await();
    call.dispatch(nowNanos);
    return true;
  }

  /** Records a failed attempt that may have been executed. */
  void recordPossibleExecution(Attempt source, String reason, long nowNanos) {
    call.restartWait(nowNanos);
    retries.recordPossibleExecution();
    lastFailure = reason;
    selection.tried().exclude(source.identity());
  }

  /** Counts and logs that the call is sent again. */
  void logRetry(Attempt source, String reason) {
    call.context().metrics().retried().inc();
    log.retrying(source.identity(), reason, retries, call.progress().lastEvent());
  }
}
