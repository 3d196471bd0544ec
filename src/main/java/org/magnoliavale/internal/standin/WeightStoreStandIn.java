package org.magnoliavale.internal.standin;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Simulates a weight store with a limited rate and concurrency of loads. Thread-safe. */
final class WeightStoreStandIn {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final Semaphore slots;
  private final long intervalNanos;
  private final int maximumConcurrentLoads;
  private final AtomicLong startedLoads = new AtomicLong();
  private long nextStartNanos = System.nanoTime();

  WeightStoreStandIn(double loadsPerSecond, int maximumConcurrentLoads) {
    this.slots = new Semaphore(maximumConcurrentLoads);
    this.maximumConcurrentLoads = maximumConcurrentLoads;
    this.intervalNanos = (long) (NANOSECONDS_PER_SECOND / loadsPerSecond);
  }

  /** Performs one load; blocks for its duration. */
  void load() {
    startedLoads.incrementAndGet();
    slots.acquireUninterruptibly();
    try {
      // A load takes one interval of the rate from its reserved start.
      sleepUntil(reserveStart() + intervalNanos);
    } finally {
      slots.release();
    }
  }

  long loadCount() {
    return startedLoads.get();
  }

  private synchronized long reserveStart() {
    long now = System.nanoTime();
    // Up to one load per slot may start at once after an idle period; beyond that the rate applies.
    long earliest = now - intervalNanos * maximumConcurrentLoads;
    nextStartNanos = Math.max(nextStartNanos, earliest) + intervalNanos;
    return Math.max(now, nextStartNanos - intervalNanos);
  }

  private static void sleepUntil(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }
}
