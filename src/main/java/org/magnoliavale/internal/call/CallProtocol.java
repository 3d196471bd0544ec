package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;

/** Maps HTTP headers between callers, this instance and endpoints. */
public interface CallProtocol {
  /** Parses a caller's headers; values that cannot be parsed count as absent. */
  CallFacts facts(HttpFields fromCaller);

  /** Returns the headers of the request to an endpoint. */
  HttpFields outgoing(HttpFields fromCaller, Forwarding forwarding);

  /** Parses status and headers of an endpoint's response. */
  AnswerFacts answer(int status, HttpFields fromEndpoint);

  /** Returns the headers of an endpoint's response that are forwarded to the caller. */
  HttpFields returned(HttpFields fromEndpoint);

  /** Returns the headers of a response that this instance generates. */
  HttpFields own(String attemptId);
}
