package org.magnoliavale.internal.queue;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/** How many calls of a queue are served a second while calls wait in it. */
final class DrainRate {
  /** Time constant of the exponential decay, in seconds. */
  private static final double DECAY_TIME_S = 2;

  /** Observed time from which on the rate counts as known, in seconds. */
  private static final double MINIMUM_OBSERVATION_S = 0.2;

  /**
   * Added to the calls served, since the next one may be served at any moment. Without it a queue
   * that has just begun to wait would count as one that is never served.
   */
  private static final double PRIOR_SERVED = 1;

  private double served;
  private double observedSeconds;
  private long lastNanos;
  private boolean observing;

  /** Notes whether calls wait for room from now on. */
  void observe(boolean waiting, long nowNanos) {
    advance(nowNanos);
    observing = waiting;
  }

  /** Counts a call that has been served. */
  void recordServed(long nowNanos) {
    advance(nowNanos);
    served++;
  }

  /** Forgets what was observed. */
  void reset() {
    served = 0;
    observedSeconds = 0;
    observing = false;
  }

  /** Returns calls per second; empty if too little has been observed. */
  OptionalDouble perSecond(long nowNanos) {
    advance(nowNanos);
    return observedSeconds < MINIMUM_OBSERVATION_S
        ? OptionalDouble.empty()
        : OptionalDouble.of((served + PRIOR_SERVED) / observedSeconds);
  }

  private void advance(long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    lastNanos = nowNanos;
    if (observing) {
      double decay = Math.exp(-seconds / DECAY_TIME_S);
      served *= decay;
      observedSeconds = observedSeconds * decay + seconds;
    }
  }
}
