package org.magnoliavale.internal.http;

/** The result of a JSON call. */
public sealed interface JsonCallResult {
  /** A complete response was received, with any status. */
  record Response(int status, byte[] body) implements JsonCallResult {}

  /** Sending had started, but no complete response was received; the outcome is unknown. */
  record OutcomeUnknown(String reason) implements JsonCallResult {}

  /** Nothing of the request was sent. */
  record NotSent(String reason) implements JsonCallResult {}
}
