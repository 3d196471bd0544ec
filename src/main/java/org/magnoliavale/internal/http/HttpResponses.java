package org.magnoliavale.internal.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.internal.json.Json;

/** Writes complete responses. */
public final class HttpResponses {

  private HttpResponses() {}

  /** Writes {@code value} as JSON with status 200. */
  public static void json(Response response, Callback callback, Object value) {
    write(response, callback, HttpStatus.OK_200, "application/json", Json.bytes(value));
  }

  /** Writes text with status 200. */
  public static void text(Response response, Callback callback, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    write(response, callback, HttpStatus.OK_200, "text/plain; charset=utf-8", bytes);
  }

  /** Writes a body with the given status and content type. */
  public static void write(
      Response response, Callback callback, int status, String contentType, byte[] body) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }
}
