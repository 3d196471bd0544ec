package org.magnoliavale.internal.residency;

import java.util.concurrent.TimeUnit;

/**
 * Paces planning rounds so that they take a bounded share of the processor: the more engines,
 * models and demand there are, the longer a round takes and the longer the pause after it. Not
 * thread-safe.
 */
final class PlanningPace {
  /** Pause after a round, as a multiple of its duration. */
  private static final long PAUSE_FACTOR = 9;

  /** Longest pause; a round that spans a suspension of the machine seems to take long. */
  private static final long MAXIMUM_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private long nextRoundNanos = Long.MIN_VALUE;

  /** Returns whether a round may start now. */
  boolean isDue(long nowNanos) {
    return nextRoundNanos == Long.MIN_VALUE || nowNanos - nextRoundNanos >= 0;
  }

  /** Records a round. */
  void finished(long startNanos, long endNanos) {
    long pause = Math.min((endNanos - startNanos) * PAUSE_FACTOR, MAXIMUM_PAUSE_NANOS);
    nextRoundNanos = endNanos + pause;
  }
}
