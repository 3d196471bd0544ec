package org.magnoliavale.internal.http;

import org.eclipse.jetty.http.HttpFields;

/** The result of a JSON call. */
public sealed interface JsonCallResult {
  /** A complete response was received, with any status. */
  record Response(int status, HttpFields headers, byte[] body) implements JsonCallResult {}

  /** Sending had started, but no complete response was received; the outcome is unknown. */
  record OutcomeUnknown(String reason) implements JsonCallResult {}

  /** Nothing of the request was sent; {@code refused} if nothing listens at the address. */
  record NotSent(String reason, boolean refused) implements JsonCallResult {}
}
