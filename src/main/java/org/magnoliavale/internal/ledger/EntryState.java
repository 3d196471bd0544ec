package org.magnoliavale.internal.ledger;

/** What an entry's bytes stand for. */
public enum EntryState {
  /** The bytes are kept for a load that was or will be sent. */
  RESERVED,
  /** A report has shown the artifact in memory. */
  RESIDENT,
  /** The artifact is to go, and its bytes are kept until it is gone for sure. */
  RELEASING
}
