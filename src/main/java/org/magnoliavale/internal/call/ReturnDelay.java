package org.magnoliavale.internal.call;

import java.time.Duration;

/** When callers that were refused should come back. */
enum ReturnDelay {
  /** Endpoints were full; slots get free all the time. */
  FULL(Duration.ofMillis(400)),
  /** The model has to be loaded first. */
  LOAD(Duration.ofMillis(2_600));

  /** Share of the delay over which returns are spread, so that callers do not come back at once. */
  private static final double SPREAD = 0.5;

  private static final int SPREAD_STEPS = 64;

  private final Duration shortest;

  ReturnDelay(Duration shortest) {
    this.shortest = shortest;
  }

  /** Returns the delay for a call; calls are spread by their ids. */
  Duration of(String callId) {
    double draw = Math.floorMod(callId.hashCode(), SPREAD_STEPS) / (double) SPREAD_STEPS;
    return Duration.ofMillis((long) (shortest.toMillis() * (1 + SPREAD * draw)));
  }
}
