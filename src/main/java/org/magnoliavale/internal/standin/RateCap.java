package org.magnoliavale.internal.standin;

/** A token bucket that rejects calls beyond a rate. Its burst is one second of that rate. */
final class RateCap {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final double perSecond;
  private double available;
  private long lastNanos = System.nanoTime();

  RateCap(double perSecond) {
    this.perSecond = perSecond;
    this.available = perSecond;
  }

  synchronized boolean tryTake() {
    long now = System.nanoTime();
    available += (now - lastNanos) / NANOSECONDS_PER_SECOND * perSecond;
    available = Math.min(available, perSecond);
    lastNanos = now;
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
