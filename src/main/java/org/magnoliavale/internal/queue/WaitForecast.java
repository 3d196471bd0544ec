package org.magnoliavale.internal.queue;

import java.time.Duration;

/**
 * How long a waiting call is expected to wait from now on.
 *
 * @param timeToStart the time until an endpoint starts it
 * @param ahead number of calls that are served before it
 * @param length number of calls in its queue, with this one
 */
public record WaitForecast(Duration timeToStart, int ahead, int length) {
  /** Returns a forecast of a wait that lasts at least a time. */
  public WaitForecast atLeast(Duration time) {
    return timeToStart.compareTo(time) < 0 ? new WaitForecast(time, ahead, length) : this;
  }
}
