package org.magnoliavale.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Parts of the requests and responses of a worker. */
final class WorkerMessages {
  private WorkerMessages() {}

  static String echo(HttpMessage request) {
    return "X-Request-Attempt-Id: " + request.header("x-request-attempt-id") + "\r\n";
  }

  static String streamHead(String headers, Form form) {
    String framing = form.framing() == Form.Framing.CHUNKS ? "Transfer-Encoding: chunked\r\n" : "";
    return "HTTP/1.1 200 OK\r\n"
        + headers
        + "Content-Type: text/event-stream\r\n"
        + framing
        + "\r\n";
  }

  static String event(int number, int size) {
    return "id: " + number + "\ndata: " + "t".repeat(size) + "\n\n";
  }

  /** Returns a part of a stream as it is sent. */
  static String part(String text, Form form) {
    return form.framing() == Form.Framing.CONNECTION ? text : chunk(text);
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static void write(OutputStream out, int status, String headers, String body) throws IOException {
    writeText(
        out,
        "HTTP/1.1 %d -\r\n%sContent-Length: %d\r\n\r\n%s"
            .formatted(status, headers, body.length(), body));
  }

  static void writeText(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  static Map<String, Integer> parameters(String path) {
    Map<String, Integer> result = new HashMap<>();
    for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        result.put(pair.substring(0, equals), Integer.parseInt(pair.substring(equals + 1)));
      }
    }
    return result;
  }
}
