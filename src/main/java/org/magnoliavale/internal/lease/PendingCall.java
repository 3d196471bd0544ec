package org.magnoliavale.internal.lease;

/** A table call whose result is awaited, or whose effect is unknown. */
sealed interface PendingCall {
  /** A read of both rows. */
  record Reading() implements PendingCall {}

  /**
   * A write that takes the lease.
   *
   * @param token the token in the row that is written
   * @param epoch the new epoch
   * @param generation generation of the contents that were read before
   * @param sentAtMs when the write was sent
   */
  record Acquiring(String token, long epoch, long generation, long sentAtMs)
      implements PendingCall {}

  /**
   * A write that renews the lease.
   *
   * @param token the token in the row that is written
   * @param sentAtMs when the write was sent
   */
  record Renewing(String token, long sentAtMs) implements PendingCall {}

  /** A write that gives the lease back. */
  record Releasing() implements PendingCall {}
}
