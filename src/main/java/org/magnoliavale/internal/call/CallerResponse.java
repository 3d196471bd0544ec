package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Writes the response of one call to its caller. Every response ends with exactly one of {@link
 * #respond}, {@link #finish} and {@link #abort}.
 */
public interface CallerResponse {
  /** Sends a complete response. */
  void respond(int status, HttpFields headers, ByteBuffer body);

  /** Starts a response of unknown length. */
  void begin(int status, HttpFields headers);

  /** Sends a part of the body; {@code written} runs when the next part may be sent. */
  void write(ByteBuffer bytes, Runnable written);

  /** Ends a response of unknown length. */
  void finish();

  /** Closes the connection, so that the caller sees the response as incomplete. */
  void abort();
}
