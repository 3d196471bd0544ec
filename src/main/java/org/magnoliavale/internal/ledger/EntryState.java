package org.magnoliavale.internal.ledger;

/** State of a {@link LedgerEntry}. */
public enum EntryState {
  /** Memory is reserved for a load that was or will be sent. */
  RESERVED,
  /** A report has shown the artifact in memory. */
  RESIDENT,
  /** The artifact is being unloaded; its memory stays reserved until its removal is proven. */
  RELEASING
}
