package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;

/** The headers between callers, instances and endpoints. */
public interface CallProtocol {
  /** Reads a caller's headers; what can't be read counts as absent. */
  CallFacts facts(HttpFields fromCaller);

  /** Returns the headers for an endpoint. */
  HttpFields outgoing(HttpFields fromCaller, Forwarding forwarding);

  /** Reads the head of an endpoint's answer. */
  AnswerFacts answer(int status, HttpFields fromEndpoint);

  /** Returns the headers of an endpoint's answer that the caller gets. */
  HttpFields returned(HttpFields fromEndpoint);

  /** Returns the headers of an answer that this instance makes itself. */
  HttpFields own(String attemptId);
}
