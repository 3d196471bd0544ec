package org.magnoliavale.internal.queue;

import java.util.OptionalLong;

/** Why the first call of a queue is not served. */
public sealed interface Blockage {
  /**
   * All endpoints that hold what the calls need have as much work as they can take.
   *
   * @param roomNanos when one of them is expected to have room
   */
  record NoRoom(long roomNanos) implements Blockage {}

  /**
   * No endpoint holds what the calls need.
   *
   * @param arrivalNanos when a load that is in progress ends; empty if that is not known
   */
  record NotLoaded(OptionalLong arrivalNanos) implements Blockage {}
}
