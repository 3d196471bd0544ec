package org.magnoliavale.internal.directory;

/** Acts on what endpoints say of themselves in responses. Thread-safe. */
public interface EndpointStatementListener {
  /**
   * Called with the head of each response that certainly comes from an incarnation.
   *
   * @param sentNanos when the request was sent, on the instance's monotonic clock
   */
  void heard(EndpointIdentity endpoint, EndpointStatement statement, long sentNanos);
}
