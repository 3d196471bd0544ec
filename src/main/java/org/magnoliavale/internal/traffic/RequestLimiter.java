package org.magnoliavale.internal.traffic;

import java.time.Duration;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/**
 * Limits the number of concurrent requests, and rejects new ones while the instance shuts down.
 * Thread-safe.
 */
public final class RequestLimiter {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int maximumRequests;
  private int inProgress;
  private boolean closed;

  /** Returns an open limiter that admits {@code maximumRequests} concurrent requests. */
  public RequestLimiter(int maximumRequests) {
    this.maximumRequests = maximumRequests;
  }

  /**
   * Admits a request. Every admitted request must be followed by one call of {@link #release}.
   *
   * @throws MagnoliavaleException if the maximum is reached or the limiter is closed
   */
  public synchronized void acquire() {
    if (closed) {
      throw MagnoliavaleException.of(ErrorCode.STOPPING, "instance is stopping")
          .withRetryAfter(RETRY_AFTER);
    }
    if (inProgress >= maximumRequests) {
      throw MagnoliavaleException.of(
              ErrorCode.OVERLOADED, "limit of " + maximumRequests + " concurrent requests reached")
          .withRetryAfter(RETRY_AFTER);
    }
    inProgress++;
  }

  /** Records the end of an admitted request. */
  public synchronized void release() {
    inProgress--;
    notifyAll();
  }

  /** Returns the number of requests in progress. */
  public synchronized int inProgress() {
    return inProgress;
  }

  /** Rejects all further requests. */
  public synchronized void close() {
    closed = true;
  }

  /** Waits until no request is in progress; returns false if the timeout expires first. */
  public synchronized boolean awaitIdle(Duration timeout) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (inProgress > 0) {
      long remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        return false;
      }
      wait(remainingMs);
    }
    return true;
  }
}
