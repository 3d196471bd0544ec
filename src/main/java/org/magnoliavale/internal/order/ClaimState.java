package org.magnoliavale.internal.order;

/** How far a claimed order has come. */
public enum ClaimState {
  /** The order may be running. */
  CLAIMED,
  /** The whole answer is recorded. */
  DONE,
  /** Whether the order ran will never be known. */
  UNKNOWN
}
