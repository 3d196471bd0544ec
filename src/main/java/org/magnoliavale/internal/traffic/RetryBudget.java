package org.magnoliavale.internal.traffic;

/**
 * Limits retries to a fraction of the requests, so that they do not amplify an overload. The budget
 * is a token bucket: every request adds a fraction of a retry, and the initial balance, which is
 * also the maximum, lets an instance with little traffic retry too. Thread-safe.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAXIMUM_RETRIES = 20;

  private double availableRetries = MAXIMUM_RETRIES;

  /** Credits the budget for one request. */
  public synchronized void deposit() {
    availableRetries = Math.min(MAXIMUM_RETRIES, availableRetries + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the budget; returns false if it is exhausted. */
  public synchronized boolean trySpend() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
