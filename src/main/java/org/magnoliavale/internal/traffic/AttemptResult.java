package org.magnoliavale.internal.traffic;

/** The outcome of sending an attempt, up to the arrival of the response headers. */
public sealed interface AttemptResult {
  /** The response headers have arrived. */
  record Responded(EndpointResponse response) implements AttemptResult {}

  /** No byte of the request was written to a connection. */
  record NotSent(String reason) implements AttemptResult {}

  /**
   * Bytes of the request may have been sent, but no response with the attempt's id arrived.
   *
   * @param reason description of the failure
   * @param connectionLost whether the endpoint closed or reset the connection
   */
  record Failed(String reason, boolean connectionLost) implements AttemptResult {}
}
