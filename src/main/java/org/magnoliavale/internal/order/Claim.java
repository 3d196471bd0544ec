package org.magnoliavale.internal.order;

/**
 * The row that stands for an order from before its first byte is sent.
 *
 * @param claimId unique to the claim, so that a lost answer can be resolved by reading
 * @param contentHash hash of the call's method, path and body
 * @param state how far the order has come
 * @param deadlineMs time after which nobody works on the order any more, in ms since 1970
 * @param outcome the recorded answer, null unless the state is {@link ClaimState#DONE}
 */
public record Claim(
    String claimId, String contentHash, ClaimState state, long deadlineMs, Outcome outcome) {
  /**
   * The recorded answer.
   *
   * @param status HTTP status
   * @param contentType content type
   * @param body the whole body
   */
  public record Outcome(int status, String contentType, byte[] body) {}

  /** Returns the claim in its last state, with the recorded answer. */
  public Claim done(Outcome recorded) {
    return new Claim(claimId, contentHash, ClaimState.DONE, deadlineMs, recorded);
  }

  /** Returns the claim in its last state, without an answer. */
  public Claim unknown() {
    return new Claim(claimId, contentHash, ClaimState.UNKNOWN, deadlineMs, null);
  }
}
