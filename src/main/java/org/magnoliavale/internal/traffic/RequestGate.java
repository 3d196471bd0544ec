package org.magnoliavale.internal.traffic;

import java.time.Duration;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/** Counts requests in progress, limits them, and closes when the instance stops. */
public final class RequestGate {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int maximum;
  private int inProgress;
  private boolean closed;

  /** Returns an open gate that lets {@code maximum} requests be in progress. */
  public RequestGate(int maximum) {
    this.maximum = maximum;
  }

  /**
   * Lets a request in.
   *
   * @throws MagnoliavaleException if too many are in progress or the gate is closed
   */
  public synchronized void enter() {
    if (closed) {
      throw MagnoliavaleException.of(ErrorCode.STOPPING, "this instance is stopping")
          .withRetryAfter(RETRY_AFTER);
    }
    if (inProgress >= maximum) {
      throw MagnoliavaleException.of(
              ErrorCode.OVERLOADED, "more than " + maximum + " requests are in progress")
          .withRetryAfter(RETRY_AFTER);
    }
    inProgress++;
  }

  /** Notes the end of a request that was let in. */
  public synchronized void leave() {
    inProgress--;
    notifyAll();
  }

  /** Returns the requests in progress. */
  public synchronized int inProgress() {
    return inProgress;
  }

  /** Lets nothing more in. */
  public synchronized void close() {
    closed = true;
  }

  /** Waits until no request is in progress; tells whether that came true in time. */
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
