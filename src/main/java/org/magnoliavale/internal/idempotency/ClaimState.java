package org.magnoliavale.internal.idempotency;

/** Progress of a claimed request. */
public enum ClaimState {
  /** The request may be executing. */
  CLAIMED,
  /** The complete response is recorded. */
  DONE,
  /** Whether the request was executed cannot be determined, or its response was not recorded. */
  UNKNOWN
}
