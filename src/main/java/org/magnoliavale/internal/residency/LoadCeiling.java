package org.magnoliavale.internal.residency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Keeps loads from the weight store under its ceiling in every window. Not thread-safe.
 *
 * <p>A new holder does not know what its predecessor began, so it starts as if half of the window's
 * loads had just begun.
 */
final class LoadCeiling {
  private final long windowNanos;
  private final Deque<Long> begun = new ArrayDeque<>();

  LoadCeiling(long windowSeconds) {
    this.windowNanos = TimeUnit.SECONDS.toNanos(windowSeconds);
  }

  private static int limit(double loadsPerSecond, long windowNanos) {
    double seconds = (double) windowNanos / TimeUnit.SECONDS.toNanos(1);
    return Math.max(1, (int) Math.floor(loadsPerSecond * seconds));
  }

  /** Counts what a predecessor may have begun. */
  void takeOver(double loadsPerSecond, long nowNanos) {
    int unknown = limit(loadsPerSecond, windowNanos) / 2;
    for (int i = 0; i < unknown; i++) {
      begun.addLast(nowNanos);
    }
  }

  /** Tells whether one load more may begin. */
  boolean allows(double loadsPerSecond, long nowNanos) {
    while (!begun.isEmpty() && nowNanos - begun.getFirst() > windowNanos) {
      begun.removeFirst();
    }
    return begun.size() < limit(loadsPerSecond, windowNanos);
  }

  /** Counts a load that begins or may begin. */
  void begin(long nowNanos) {
    begun.addLast(nowNanos);
  }
}
