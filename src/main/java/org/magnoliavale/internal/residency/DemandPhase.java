package org.magnoliavale.internal.residency;

/** How much is known of what calls ask for. */
enum DemandPhase {
  /** No call has come yet: orders disturb nobody. */
  BEFORE,
  /** Calls come, too few to show the demand; what the operator placed is the best guess. */
  LEARNING,
  /** Rates show the demand. */
  KNOWN
}
