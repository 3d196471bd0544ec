package org.magnoliavale.internal.residency;

/** How reliably the demand is known. */
enum DemandPhase {
  /** No request has arrived yet that a command could delay. */
  NO_REQUESTS,
  /** Too few requests to estimate rates; the operator's placement is the best estimate. */
  LEARNING,
  /** Measured rates reflect the demand. */
  KNOWN
}
