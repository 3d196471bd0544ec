package org.magnoliavale.internal.traffic;

/** Sends attempts to endpoints and waits for the response headers. */
public interface AttemptSender {
  /** Sends an attempt over a pooled connection, which may have been used before. */
  AttemptResult send(AttemptRequest attempt);

  /** Sends an attempt of a non-idempotent request over a new connection. */
  AttemptResult sendOnNewConnection(AttemptRequest attempt);
}
