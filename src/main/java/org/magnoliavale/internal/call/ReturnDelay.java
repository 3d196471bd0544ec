package org.magnoliavale.internal.call;

import java.time.Duration;

/** The Retry-After delay of refused calls. */
enum ReturnDelay {
  /** The endpoints were full; slots become free continuously. */
  FULL(Duration.ofMillis(400)),
  /** The model must be loaded first. */
  LOAD(Duration.ofMillis(3_000));

  /** Maximum jitter as a share of the delay, so that callers do not all retry at the same time. */
  private static final double SPREAD = 0.5;

  /**
   * Maximum delay as a share of the caller's remaining time. Callers do not honour a delay of more
   * than a third.
   */
  private static final double USABLE_SHARE = 0.32;

  private static final int SPREAD_STEPS = 64;

  private final Duration shortest;

  ReturnDelay(Duration shortest) {
    this.shortest = shortest;
  }

  /**
   * Returns the delay for a call. The jitter is derived from the call's id.
   *
   * @param left the caller's remaining time, which limits the delay
   */
  Duration of(String callId, Duration left) {
    double draw = Math.floorMod(callId.hashCode(), SPREAD_STEPS) / (double) SPREAD_STEPS;
    double wanted = shortest.toMillis() * (1 + SPREAD * draw);
    return Duration.ofMillis((long) Math.min(wanted, left.toMillis() * USABLE_SHARE));
  }
}
