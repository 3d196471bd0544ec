package org.magnoliavale.internal.http;

/** The result of a JSON call. */
public sealed interface JsonAnswer {
  /** A complete response was received, with any status. */
  record Answered(int status, byte[] body) implements JsonAnswer {}

  /** Sending had started, but no complete response was received; the outcome is unknown. */
  record Lost(String reason) implements JsonAnswer {}

  /** Nothing of the request was sent. */
  record NotSent(String reason) implements JsonAnswer {}
}
