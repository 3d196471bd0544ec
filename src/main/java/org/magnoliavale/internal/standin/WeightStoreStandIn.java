package org.magnoliavale.internal.standin;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** A weight store that starts loads at a rate and runs a number of them at once at full speed. */
final class WeightStoreStandIn {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final Semaphore slots;
  private final long intervalNanos;
  private final int loadsAtOnce;
  private final AtomicLong loads = new AtomicLong();
  private long nextStartNanos = System.nanoTime();

  WeightStoreStandIn(double loadsPerSecond, int loadsAtOnce) {
    this.slots = new Semaphore(loadsAtOnce);
    this.loadsAtOnce = loadsAtOnce;
    this.intervalNanos = (long) (NANOSECONDS_PER_SECOND / loadsPerSecond);
  }

  /** Blocks as long as one load takes. */
  void load() {
    loads.incrementAndGet();
    slots.acquireUninterruptibly();
    try {
      // Each load streams for as long as the rate allows when all slots are busy.
      sleepUntil(reserveStart() + intervalNanos);
    } finally {
      slots.release();
    }
  }

  long loads() {
    return loads.get();
  }

  private synchronized long reserveStart() {
    long now = System.nanoTime();
    // A burst of loads may start at once; after it the rate holds.
    long earliest = now - intervalNanos * loadsAtOnce;
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
