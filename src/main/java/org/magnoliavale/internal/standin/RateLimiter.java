package org.magnoliavale.internal.standin;

/** A token bucket that rejects calls beyond a rate. Its burst is one second of that rate. */
final class RateLimiter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final double permitsPerSecond;
  private double availablePermits;
  private long lastRefillNanos = System.nanoTime();

  RateLimiter(double permitsPerSecond) {
    this.permitsPerSecond = permitsPerSecond;
    this.availablePermits = permitsPerSecond;
  }

  synchronized boolean tryAcquire() {
    long now = System.nanoTime();
    availablePermits += (now - lastRefillNanos) / NANOSECONDS_PER_SECOND * permitsPerSecond;
    availablePermits = Math.min(availablePermits, permitsPerSecond);
    lastRefillNanos = now;
    if (availablePermits < 1) {
      return false;
    }
    availablePermits -= 1;
    return true;
  }
}
