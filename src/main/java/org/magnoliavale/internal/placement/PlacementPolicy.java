package org.magnoliavale.internal.placement;

import java.util.List;

/** A rule that turns a state into moves. Pure: the same input gives the same moves. */
public interface PlacementPolicy {
  /** Returns the moves of one round, the most important first. */
  List<Move> plan(PlacementInput input);
}
