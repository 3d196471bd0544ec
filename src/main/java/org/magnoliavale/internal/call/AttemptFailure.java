package org.magnoliavale.internal.call;

/** Whether a failed attempt may have reached its endpoint. */
public enum AttemptFailure {
  /** No byte of the request was sent. */
  NOT_SENT,
  /** The request may have reached the endpoint. */
  LOST
}
