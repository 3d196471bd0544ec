package org.magnoliavale.internal.traffic;

/** What came of sending an attempt. */
public sealed interface AttemptStart {
  /** The answer has begun. */
  record Opened(OpenAnswer answer) implements AttemptStart {}

  /** No byte was handed to a connection. */
  record NotSent(String reason) implements AttemptStart {}

  /**
   * Bytes may have left, and no answer with the attempt's own id has begun.
   *
   * @param reason what went wrong
   * @param connectionLost whether the endpoint closed or reset the connection
   */
  record Failed(String reason, boolean connectionLost) implements AttemptStart {}
}
