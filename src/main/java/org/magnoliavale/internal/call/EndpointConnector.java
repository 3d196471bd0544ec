package org.magnoliavale.internal.call;

/** Sends attempts to endpoints. Never sends one twice. */
public interface EndpointConnector {
  /** A sent attempt. */
  interface Handle {
    /** Closes the attempt's connection; the listener may still hear of it. */
    void cancel();
  }

  /** Sends an attempt; its listener may be called before this returns. */
  Handle send(AttemptOrder order, AttemptListener listener);
}
