package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * An answer whose headers have arrived. Reading blocks; what is not read is not sent by the
 * endpoint, so a slow caller slows the endpoint's connection down instead of filling memory.
 */
public interface OpenAnswer {
  /** Returns the HTTP status. */
  int status();

  /** Returns the content type, if the answer has one. */
  Optional<String> contentType();

  /** Returns the content. Its end is reached only when the answer is complete. */
  InputStream content();

  /** Gives the attempt up; its connection is closed and never used again. */
  void abandon(String reason);

  /**
   * Reads the whole content.
   *
   * @throws IOException if the answer is cut off or larger than {@code maximumBytes}
   */
  default byte[] readWhole(int maximumBytes) throws IOException {
    byte[] body = content().readNBytes(maximumBytes + 1);
    if (body.length > maximumBytes) {
      throw new IOException("answer is larger than " + maximumBytes + " bytes");
    }
    return body;
  }
}
