package org.magnoliavale.internal.route;

/** What a route promises about the calls that it takes. */
public enum CallKind {
  /** Idempotent; may be sent again after any failure. */
  SAFE,
  /** Not idempotent; runs at most once. */
  UNSAFE,
  /** Answered by a stream of events; idempotent only if it can be resumed. */
  STREAM
}
