package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * How an attempt ended, for the log.
 *
 * @param status status of the response, 0 if there was none
 * @param framing what tells where the body of the response ends
 * @param requestSent whether the whole request had been sent
 * @param connection how the connection ended
 * @param failure what ended the attempt, empty if its response was complete
 */
public record AttemptEnd(
    int status, Framing framing, boolean requestSent, String connection, String failure) {
  /** What tells where the body of a response ends. */
  public enum Framing {
    /** There is no body, or no response. */
    NONE,
    /** Its length, which the head states. */
    LENGTH,
    /** The last chunk. */
    CHUNKS,
    /** The end of the connection. */
    CONNECTION;

    /** Returns the framing of a response. */
    public static Framing of(int status, HttpFields headers) {
      if (status == 0 || HttpStatus.hasNoBody(status)) {
        return NONE;
      }
      if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
        return CHUNKS;
      }
      return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION;
    }
  }

  /** Returns whether the log tells of this end: a failure, or the end of the connection. */
  boolean isLogged() {
    return !failure.isEmpty() || framing == Framing.CONNECTION;
  }
}
