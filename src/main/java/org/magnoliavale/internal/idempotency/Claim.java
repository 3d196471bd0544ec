package org.magnoliavale.internal.idempotency;

/**
 * The stored idempotency record of a non-idempotent request. It is written before the first byte of
 * the request is sent.
 *
 * @param claimId unique id of the claim; identifies its own write after a lost response
 * @param contentHash hash of the request's method, path and body
 * @param state progress of the request
 * @param deadlineMs deadline of the request, in milliseconds since the epoch
 * @param outcome the recorded response, null unless the state is {@link ClaimState#DONE}
 */
public record Claim(
    String claimId, String contentHash, ClaimState state, long deadlineMs, Outcome outcome) {
  /**
   * The recorded response.
   *
   * @param status HTTP status
   * @param contentType content type
   * @param body the complete body
   */
  public record Outcome(int status, String contentType, byte[] body) {}

  /** Returns the claim in state {@code DONE} with the recorded response. */
  public Claim asDone(Outcome recorded) {
    return new Claim(claimId, contentHash, ClaimState.DONE, deadlineMs, recorded);
  }

  /** Returns the claim in state {@code UNKNOWN}, without a response. */
  public Claim asUnknown() {
    return new Claim(claimId, contentHash, ClaimState.UNKNOWN, deadlineMs, null);
  }
}
