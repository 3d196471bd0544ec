package org.magnoliavale.internal.call;

/** How an attempt failed. */
public enum AttemptFailure {
  /** No byte of it left this instance. */
  NOT_SENT,
  /** It may have reached the endpoint. */
  LOST
}
