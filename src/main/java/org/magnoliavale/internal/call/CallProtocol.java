package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;

/** Maps HTTP headers between callers, this instance and endpoints. */
public interface CallProtocol {
  /** Parses a caller's headers; values that cannot be parsed count as absent. */
  CallMetadata parseRequest(HttpFields fromCaller);

  /** Returns the headers of the request to an endpoint. */
  HttpFields requestHeaders(HttpFields fromCaller, ForwardingContext forwarding);

  /** Parses status and headers of an endpoint's response. */
  ResponseHead parseResponse(int status, HttpFields fromEndpoint);

  /** Returns the headers of an endpoint's response that are forwarded to the caller. */
  HttpFields responseHeaders(HttpFields fromEndpoint);

  /** Returns the headers of a response that this instance generates. */
  HttpFields localResponseHeaders(String attemptId);
}
