package org.magnoliavale.internal.dispatch;

/** What a call at an endpoint says about the endpoint. */
public enum CallResult {
  /** It answered properly. */
  ANSWERED,
  /** It said that it is full and did not run the call. */
  FULL,
  /** It failed, broke off, or answered wrongly. */
  FAILED,
  /** No connection could be made. */
  UNREACHABLE,
  /** This instance or the caller ended the call; nothing is learned. */
  ABANDONED
}
