package org.magnoliavale.internal.call;

import java.time.Duration;

/** When callers that were refused should come back. */
enum ReturnDelay {
  /** Endpoints were full; slots get free all the time. */
  FULL(Duration.ofMillis(400)),
  /** The model has to be loaded first. */
  LOAD(Duration.ofMillis(3_000));

  /** Share of the delay over which returns are spread, so that callers do not come back at once. */
  private static final double SPREAD = 0.5;

  /** Share of its time that a caller waits at most before it comes back. */
  private static final double USABLE_SHARE = 0.32;

  private static final int SPREAD_STEPS = 64;

  private final Duration shortest;

  ReturnDelay(Duration shortest) {
    this.shortest = shortest;
  }

  /**
   * Returns the delay for a call; calls are spread by their ids.
   *
   * @param left the time that the caller has left, of which it spends a part at most
   */
  Duration of(String callId, Duration left) {
    double draw = Math.floorMod(callId.hashCode(), SPREAD_STEPS) / (double) SPREAD_STEPS;
    double wanted = shortest.toMillis() * (1 + SPREAD * draw);
    return Duration.ofMillis((long) Math.min(wanted, left.toMillis() * USABLE_SHARE));
  }
}
