package org.magnoliavale.internal.route;

/** Kind of the calls of a route, which determines when they may be retried. */
public enum CallKind {
  /** Idempotent; may be retried after any failure. */
  IDEMPOTENT,
  /** Not idempotent; executed at most once. */
  NON_IDEMPOTENT,
  /** Answered with a stream of events; may be retried only if the stream is resumable. */
  STREAM
}
