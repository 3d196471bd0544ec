package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.call.CallMetadata;
import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.internal.call.ForwardingContext;
import org.magnoliavale.internal.call.ResponseHead;

/** A protocol that throws in one of its steps. */
final class ThrowingProtocol implements CallProtocol {
  /** The steps, in the order of a call. */
  enum Step {
    NONE,
    PARSE_REQUEST,
    REQUEST_HEADERS,
    PARSE_RESPONSE,
    RESPONSE_HEADERS,
    LOCAL_RESPONSE_HEADERS
  }

  private final CallProtocol protocol;
  private volatile Step failing = Step.NONE;

  ThrowingProtocol(CallProtocol protocol) {
    this.protocol = protocol;
  }

  void failAt(Step step) {
    failing = step;
  }

  private void reach(Step step) {
    if (failing == step) {
      throw new IllegalStateException("expected by the test");
    }
  }

  @Override
  public CallMetadata parseRequest(HttpFields fromCaller) {
    reach(Step.PARSE_REQUEST);
    return protocol.parseRequest(fromCaller);
  }

  @Override
  public HttpFields requestHeaders(HttpFields fromCaller, ForwardingContext forwarding) {
    reach(Step.REQUEST_HEADERS);
    return protocol.requestHeaders(fromCaller, forwarding);
  }

  @Override
  public HttpFields peerRequestHeaders(
      HttpFields fromCaller,
      String attemptId,
      Duration timeRemaining,
      Optional<Long> resumedAfter) {
    return protocol.peerRequestHeaders(fromCaller, attemptId, timeRemaining, resumedAfter);
  }

  @Override
  public ResponseHead parseResponse(int status, HttpFields fromEndpoint) {
    reach(Step.PARSE_RESPONSE);
    return protocol.parseResponse(status, fromEndpoint);
  }

  @Override
  public HttpFields responseHeaders(HttpFields fromEndpoint) {
    reach(Step.RESPONSE_HEADERS);
    return protocol.responseHeaders(fromEndpoint);
  }

  @Override
  public HttpFields localResponseHeaders(String attemptId) {
    reach(Step.LOCAL_RESPONSE_HEADERS);
    return protocol.localResponseHeaders(attemptId);
  }
}
