package org.magnoliavale.internal.document;

import java.time.Duration;

/**
 * The guarantees that a type of endpoint gives.
 *
 * @param name the contract's name
 * @param enforcesFencing whether the engine rejects a command whose fencing token is lower than the
 *     highest one it has seen
 * @param persistsFencingToken whether the engine retains the highest fencing token across restarts
 * @param maximumCommandDelay maximum time between the latest permitted sending of a command and its
 *     arrival
 * @param resumesStreams whether the engine can resume a stream from a given token
 */
public record Contract(
    String name,
    boolean enforcesFencing,
    boolean persistsFencingToken,
    Duration maximumCommandDelay,
    boolean resumesStreams) {
  /** The contract of an endpoint that names none. It gives no guarantees. */
  public static final Contract NONE =
      new Contract("none", false, false, Duration.ofMinutes(1), false);
}
