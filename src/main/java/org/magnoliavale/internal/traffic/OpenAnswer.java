package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;

/**
 * An answer whose headers have arrived. Reading blocks; what is not read is not sent by the
 * endpoint, so a slow caller slows the endpoint's connection down instead of filling memory.
 */
public final class OpenAnswer {
  private final Request request;
  private final Response response;
  private final InputStream content;

  OpenAnswer(Request request, Response response, InputStream content) {
    this.request = request;
    this.response = response;
    this.content = content;
  }

  /** Returns the HTTP status. */
  public int status() {
    return response.getStatus();
  }

  /** Returns the content type, if the answer has one. */
  public Optional<String> contentType() {
    return Optional.ofNullable(response.getHeaders().get(HttpHeader.CONTENT_TYPE));
  }

  /** Returns the content. Its end is reached only when the answer is complete. */
  public InputStream content() {
    return content;
  }

  /**
   * Reads the whole content.
   *
   * @throws IOException if the answer is cut off or larger than {@code maximumBytes}
   */
  public byte[] readWhole(int maximumBytes) throws IOException {
    byte[] body = content.readNBytes(maximumBytes + 1);
    if (body.length > maximumBytes) {
      throw new IOException("answer is larger than " + maximumBytes + " bytes");
    }
    return body;
  }

  /** Gives the attempt up; its connection is closed and never used again. */
  public void abandon(String reason) {
    request.abort(new IOException(reason));
  }
}
