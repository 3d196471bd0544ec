package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.AttemptOutcome;
import org.magnoliavale.internal.dispatch.EndpointChoice;

/**
 * Tries other endpoints for a call while its endpoint is silent or slow. Guarded by its call.
 *
 * <p>A silent endpoint may only pause, and a slow one may be about to answer. Its attempt is kept
 * beside the one at another endpoint until either of them makes progress, so a call loses nothing
 * if the other endpoint does not take it.
 */
final class OtherEndpointTries {
  /** Minimum time between two tries beside an attempt in progress. */
  private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final Call call;
  private final AttemptsInProgress attempts;
  private final EndpointSelection selection;
  private final RetryAllowance retries;
  private final CallLog log;
  private long lastTryNanos;

  OtherEndpointTries(
      Call call, AttemptsInProgress attempts, EndpointSelection selection, RetryAllowance retries) {
    this.call = call;
    this.attempts = attempts;
    this.selection = selection;
    this.retries = retries;
    this.log = new CallLog(call.plan());
    this.lastTryNanos = call.plan().request().arrivedNanos();
  }

  /**
   * Sends the call to another endpoint as well, if one can take it now and a retry is allowed. Of
   * two attempts in progress the newer one is dropped if the call may be sent to a third endpoint.
   *
   * @param reason what is wrong with the attempt in progress
   */
  void tryOther(Attempt inProgress, String reason, long nowNanos) {
    if (nowNanos - lastTryNanos < RETRY_INTERVAL_NANOS) {
      return;
    }
    if (attempts.isPair()) {
      dropNewer(inProgress, reason, nowNanos);
      return;
    }
    choose(inProgress, nowNanos)
        .ifPresent(
            choice -> {
              lastTryNanos = nowNanos;
              call.failedAttempts().logRetry(inProgress, reason);
              call.sendBeside(choice, nowNanos);
            });
  }

  private void dropNewer(Attempt newer, String reason, long nowNanos) {
    if (retries.allowsRetryInPlaceOfPair(call.progress().hasStarted(), nowNanos)) {
      newer.cancel(AttemptOutcome.FAILED, nowNanos);
      call.failedAttempts().recordPossibleExecution(newer, reason, nowNanos);
      attempts.removeEnded(newer);
    }
  }

  private Optional<EndpointChoice.Selected> choose(Attempt inProgress, long nowNanos) {
    if (!retries.allowsRetryInPlaceOfAttempt(call.progress().hasStarted(), nowNanos)) {
      return Optional.empty();
    }
    return selection.chooseOtherWithinBudget(inProgress.endpoint(), retries, nowNanos);
  }

  /** Keeps only an attempt whose endpoint has begun or gone on with the response. */
  void madeProgress(Attempt source, long nowNanos) {
    attempts
        .keepOnly(source, nowNanos)
        .ifPresent(
            other -> {
              log.keptOneOfTwo(source.identity(), other.identity());
              call.failedAttempts()
                  .recordPossibleExecution(other, "another attempt made progress", nowNanos);
            });
  }
}
