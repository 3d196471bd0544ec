package org.magnoliavale.internal.traffic;

/**
 * Limits retries to a fraction of the requests, so that they do not amplify an overload. The budget
 * is a token bucket: every request adds a fraction of a retry, and the initial balance, which is
 * also the maximum, lets an instance with little traffic retry too. Thread-safe.
 */
public final class RetryBudget {
  private static final double SHARE_OF_REQUESTS = 0.1;
  private static final double RESERVE = 20;

  private double available = RESERVE;

  /** Credits the budget for one request. */
  public synchronized void earn() {
    available = Math.min(RESERVE, available + SHARE_OF_REQUESTS);
  }

  /** Takes one retry from the budget; returns false if it is exhausted. */
  public synchronized boolean trySpend() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
