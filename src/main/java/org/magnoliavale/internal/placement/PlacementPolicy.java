package org.magnoliavale.internal.placement;

import java.util.List;

/**
 * Decides which artifacts to load and unload. An implementation does no I/O and reads no clock; it
 * is called from one thread, and may keep state between rounds.
 */
public interface PlacementPolicy {
  /** Returns the moves of one round, in the sequence in which they are to be carried out. */
  List<Move> plan(PlacementInput input);
}
