package org.magnoliavale.internal.tenant;

/** Whether a call may pass with its key. */
public sealed interface KeyDecision {
  /**
   * The call may pass.
   *
   * @param caller whom it belongs to
   */
  record Admitted(CallerIdentity caller) implements KeyDecision {}

  /**
   * The call may not pass.
   *
   * @param reason why, without the key
   */
  record Rejected(String reason) implements KeyDecision {}

  /**
   * This instance can't tell whether the key is valid.
   *
   * @param reason why, without the key
   */
  record Undecided(String reason) implements KeyDecision {}
}
