package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/** Maps HTTP headers between callers, this instance and endpoints. */
public interface CallProtocol {
  /** Parses a caller's headers; values that cannot be parsed count as absent. */
  CallMetadata parseRequest(HttpFields fromCaller);

  /** Returns the headers of the request to an endpoint. */
  HttpFields requestHeaders(HttpFields fromCaller, ForwardingContext forwarding);

  /**
   * Returns the headers of a request that is passed to a peer, as its caller would send it there.
   *
   * @param timeRemaining time until the deadline of the call
   * @param resumedAfter the last event of the response that the caller has got from this instance,
   *     with which the peer is to go on; empty if the response has not begun
   */
  HttpFields peerRequestHeaders(
      HttpFields fromCaller, String attemptId, Duration timeRemaining, Optional<Long> resumedAfter);

  /** Parses status and headers of an endpoint's response. */
  ResponseHead parseResponse(int status, HttpFields fromEndpoint);

  /** Returns the headers of an endpoint's response that are forwarded to the caller. */
  HttpFields responseHeaders(HttpFields fromEndpoint);

  /** Returns the headers of a response that this instance generates. */
  HttpFields localResponseHeaders(String attemptId);
}
