package org.magnoliavale.internal.call;

/** Sends requests to endpoints. Must not retry a request itself. */
public interface EndpointConnector {
  /** An attempt in progress. */
  interface Handle {
    /** Closes the connection; the listener may still receive events. */
    void cancel();
  }

  /** Sends a request; the listener may be called before this method returns. */
  Handle send(OutgoingRequest request, AttemptListener listener);
}
