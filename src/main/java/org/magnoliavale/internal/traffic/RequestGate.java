package org.magnoliavale.internal.traffic;

import java.time.Duration;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/**
 * Limits the number of concurrent requests, and rejects new ones while the instance shuts down.
 * Thread-safe.
 */
public final class RequestGate {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int maximum;
  private int inProgress;
  private boolean closed;

  /** Returns an open limiter that admits {@code maximum} concurrent requests. */
  public RequestGate(int maximum) {
    this.maximum = maximum;
  }

  /**
   * Admits a request. Every admitted request must be followed by one call of {@link #leave}.
   *
   * @throws MagnoliavaleException if the maximum is reached or the limiter is closed
   */
  public synchronized void enter() {
    if (closed) {
      throw MagnoliavaleException.of(ErrorCode.STOPPING, "instance is stopping")
          .withRetryAfter(RETRY_AFTER);
    }
    if (inProgress >= maximum) {
      throw MagnoliavaleException.of(
              ErrorCode.OVERLOADED, "more than " + maximum + " requests are in progress")
          .withRetryAfter(RETRY_AFTER);
    }
    inProgress++;
  }

  /** Records the end of an admitted request. */
  public synchronized void leave() {
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
  public synchronized boolean awaitEmpty(Duration timeout) throws InterruptedException {
    long end = System.nanoTime() + timeout.toNanos();
    while (inProgress > 0) {
      long leftMs = (end - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        return false;
      }
      wait(leftMs);
    }
    return true;
  }
}
