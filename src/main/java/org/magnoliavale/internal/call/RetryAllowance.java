package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/**
 * Counts the attempts of a call and decides whether another one is allowed. Guarded by its call.
 */
final class RetryAllowance {
  /** Maximum number of retries after attempts that were certainly not executed. */
  private static final int MAXIMUM_REFUSALS = 4;

  /** Minimum time until the deadline for a further attempt. */
  private static final Duration MINIMUM_ATTEMPT_TIME = Duration.ofMillis(15);

  private final CallContext context;
  private final CallPlan plan;
  private final BooleanSupplier maySend;
  private int possibleExecutions;
  private int refusals;

  /**
   * Returns the allowance of a call.
   *
   * @param maySend whether this instance will still be there at the call's deadline
   */
  RetryAllowance(CallContext context, CallPlan plan, BooleanSupplier maySend) {
    this.context = context;
    this.plan = plan;
    this.maySend = maySend;
  }

  /** Returns the number of attempts that may have been executed. */
  int possibleExecutions() {
    return possibleExecutions;
  }

  /** Returns the number of attempts that were certainly not executed. */
  int refusals() {
    return refusals;
  }

  boolean mayHaveBeenExecuted() {
    return possibleExecutions > 0;
  }

  /** Returns whether the endpoints that refused the call may be asked once more. */
  boolean allowsSecondRound() {
    return refusals < MAXIMUM_REFUSALS && possibleExecutions == 0;
  }

  void recordRefusal() {
    refusals++;
  }

  /** Returns whether the call may be sent again after a refusal that has been recorded. */
  boolean allowsRetryAfterRefusal(boolean responseStarted, long nowNanos) {
    return refusals <= MAXIMUM_REFUSALS && hasTime(responseStarted, nowNanos);
  }

  /** Records an attempt that may have been executed. */
  void recordPossibleExecution() {
    possibleExecutions++;
  }

  /** Returns whether the call may be sent again after a possible execution that was recorded. */
  boolean allowsRetryAfterExecution(boolean responseStarted, long nowNanos) {
    return allowsRetry(possibleExecutions, responseStarted, nowNanos);
  }

  /** Returns whether the call may be sent again beside or instead of its attempt in progress. */
  boolean allowsRetryInPlaceOfAttempt(boolean responseStarted, long nowNanos) {
    return allowsRetryBeside(1, responseStarted, nowNanos);
  }

  /** Returns whether the call may be sent again instead of one of its two attempts in progress. */
  boolean allowsRetryInPlaceOfPair(boolean responseStarted, long nowNanos) {
    return allowsRetryBeside(2, responseStarted, nowNanos);
  }

  /** Attempts in progress may have been executed, too. */
  private boolean allowsRetryBeside(int attempts, boolean responseStarted, long nowNanos) {
    return refusals < MAXIMUM_REFUSALS
        && allowsRetry(possibleExecutions + attempts, responseStarted, nowNanos);
  }

  private boolean allowsRetry(int executions, boolean responseStarted, long nowNanos) {
    return plan.route().isRetryable()
        && executions < plan.route().maximumAttempts()
        && hasTime(responseStarted, nowNanos)
        && !context.crashDetector().isBlocked(plan.crashKeys())
        && context.retryBudget().hasRetryLeft(plan.service(), nowNanos);
  }

  /** Takes a retry from the budget; returns whether there was one left. */
  boolean spendRetry(long nowNanos) {
    return context.retryBudget().trySpend(plan.service(), nowNanos);
  }

  /** Returns whether another attempt may end in time, also before a stopping instance ends. */
  private boolean hasTime(boolean responseStarted, long nowNanos) {
    boolean mayEnd = responseStarted || maySend.getAsBoolean();
    return mayEnd && plan.deadlineNanos() - nowNanos > MINIMUM_ATTEMPT_TIME.toNanos();
  }
}
