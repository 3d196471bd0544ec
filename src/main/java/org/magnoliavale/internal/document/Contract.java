package org.magnoliavale.internal.document;

import java.time.Duration;

/**
 * What a kind of endpoint promises.
 *
 * @param name the contract's name
 * @param checksFencing the engine refuses an order whose fencing number is lower than one seen
 * @param keepsFenceOverRestart the engine remembers the highest number when it restarts
 * @param orderLateness an order arrives at the latest so long after its last moment of sending
 * @param resumesStreams the engine continues a stream from a given token
 */
public record Contract(
    String name,
    boolean checksFencing,
    boolean keepsFenceOverRestart,
    Duration orderLateness,
    boolean resumesStreams) {
  /** The contract of an endpoint that names none: nothing is promised. */
  public static final Contract NONE =
      new Contract("none", false, false, Duration.ofMinutes(1), false);
}
