package org.magnoliavale.internal.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/** Reads request bodies up to a maximum size. */
public final class RequestBodies {
  private RequestBodies() {}

  /**
   * Reads the whole body, blocking.
   *
   * @throws MagnoliavaleException if the body is too large, not received in time, or truncated
   */
  public static byte[] read(Request request, int maximumBytes) {
    if (request.getLength() > maximumBytes) {
      throw tooLarge(maximumBytes);
    }
    try (InputStream input = Content.Source.asInputStream(request)) {
      byte[] body = input.readNBytes(maximumBytes + 1);
      if (body.length > maximumBytes) {
        throw tooLarge(maximumBytes);
      }
      return body;
    } catch (IOException e) {
      boolean slow = e.getCause() instanceof TimeoutException;
      throw MagnoliavaleException.of(
          slow ? ErrorCode.REQUEST_TIMEOUT : ErrorCode.INVALID_REQUEST,
          slow ? "request body not received in time" : "request body truncated");
    }
  }

  private static MagnoliavaleException tooLarge(int maximumBytes) {
    return MagnoliavaleException.of(
        ErrorCode.BODY_TOO_LARGE, "request body larger than " + maximumBytes + " bytes");
  }
}
