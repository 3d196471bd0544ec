package org.magnoliavale.internal.traffic;

/**
 * Keeps retries a share of requests, so that they never multiply an overload. Every request earns a
 * part of a retry; a reserve lets a quiet instance retry too.
 */
public final class RetryBudget {
  private static final double SHARE_OF_REQUESTS = 0.1;
  private static final double RESERVE = 20;

  private double available = RESERVE;

  /** Notes a request. */
  public synchronized void earn() {
    available = Math.min(RESERVE, available + SHARE_OF_REQUESTS);
  }

  /** Takes one retry, if there is one. */
  public synchronized boolean trySpend() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
