package org.magnoliavale.internal.dispatch;

/** Outcome of an attempt, as far as it concerns the health of the endpoint. */
public enum AttemptOutcome {
  /** The endpoint sent a valid response. */
  ANSWERED,
  /** The endpoint rejected the request because it is overloaded, and did not run it. */
  OVERLOADED,
  /** The endpoint failed, closed the connection early, or sent an invalid response. */
  FAILED,
  /** No connection could be made. */
  UNREACHABLE,
  /** The attempt says nothing about the endpoint's health, such as a cancelled one. */
  INCONCLUSIVE
}
