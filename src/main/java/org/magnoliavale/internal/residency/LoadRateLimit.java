package org.magnoliavale.internal.residency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Limits loads from the weight store to a rate over a sliding window. Not thread-safe.
 *
 * <p>A new lease holder does not know which loads its predecessor started, so it begins as if half
 * of the loads allowed in a window had just started.
 */
final class LoadRateLimit {
  private final long windowNanos;
  private final Deque<Long> startNanos = new ArrayDeque<>();

  LoadRateLimit(long windowSeconds) {
    this.windowNanos = TimeUnit.SECONDS.toNanos(windowSeconds);
  }

  private static int limit(double loadsPerSecond, long windowNanos) {
    double seconds = (double) windowNanos / TimeUnit.SECONDS.toNanos(1);
    return Math.max(1, (int) Math.floor(loadsPerSecond * seconds));
  }

  /** Counts loads that the previous lease holder may have started. */
  void reserveForPredecessor(double loadsPerSecond, long nowNanos) {
    int reserved = limit(loadsPerSecond, windowNanos) / 2;
    for (int i = 0; i < reserved; i++) {
      startNanos.addLast(nowNanos);
    }
  }

  /** Returns whether another load may start. */
  boolean allows(double loadsPerSecond, long nowNanos) {
    while (!startNanos.isEmpty() && nowNanos - startNanos.getFirst() > windowNanos) {
      startNanos.removeFirst();
    }
    return startNanos.size() < limit(loadsPerSecond, windowNanos);
  }

  /** Counts a load that is started, whether or not the endpoint accepts it. */
  void recordStart(long nowNanos) {
    startNanos.addLast(nowNanos);
  }
}
