package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * A response whose headers have arrived. Reading the content blocks and is subject to flow control:
 * a slow caller throttles the endpoint's connection instead of filling the instance's memory.
 */
public interface EndpointResponse {
  /** Returns the HTTP status code. */
  int status();

  /** Returns the content type, if the response has one. */
  Optional<String> contentType();

  /** Returns the content; end of stream is reported only if the response is complete. */
  InputStream content();

  /** Cancels the attempt and closes its connection, which is not returned to the pool. */
  void abandon(String reason);

  /**
   * Reads the entire content.
   *
   * @throws IOException if the response is truncated or larger than {@code maximumBytes}
   */
  default byte[] readFully(int maximumBytes) throws IOException {
    byte[] body = content().readNBytes(maximumBytes + 1);
    if (body.length > maximumBytes) {
      throw new IOException("response is larger than " + maximumBytes + " bytes");
    }
    return body;
  }
}
