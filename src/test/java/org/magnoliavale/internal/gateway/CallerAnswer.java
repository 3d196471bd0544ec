package org.magnoliavale.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * A response as a caller reads it from its socket.
 *
 * @param status HTTP status, 0 if the connection ended before a whole head
 * @param head the head
 * @param body the body as far as it came, without the framing of its chunks
 * @param complete whether the response is complete by its own framing
 */
record CallerAnswer(int status, String head, String body, boolean complete) {
  private static final String HEAD_END = "\r\n\r\n";

  /** Reads one response, to its end or to the end of the connection. */
  static CallerAnswer read(InputStream input) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    boolean orderly = readUntil(input, bytes, HEAD_END);
    String head = bytes.toString(StandardCharsets.UTF_8);
    if (!head.endsWith(HEAD_END)) {
      return new CallerAnswer(0, head, "", false);
    }
    int status = Integer.parseInt(head.split(" ")[1]);
    bytes.reset();
    String lowerCase = head.toLowerCase(java.util.Locale.ROOT);
    boolean complete;
    if (lowerCase.contains("transfer-encoding: chunked")) {
      complete = readChunks(input, bytes);
    } else if (lowerCase.contains("content-length: ")) {
      int start = lowerCase.indexOf("content-length: ") + "content-length: ".length();
      int length = Integer.parseInt(lowerCase.substring(start, lowerCase.indexOf('\r', start)));
      readBytes(input, bytes, length);
      complete = bytes.size() == length;
    } else {
      complete = orderly && readBytes(input, bytes, Integer.MAX_VALUE);
    }
    return new CallerAnswer(status, head, bytes.toString(StandardCharsets.UTF_8), complete);
  }

  private static boolean readChunks(InputStream input, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      readUntil(input, line, "\r\n");
      String text = line.toString(StandardCharsets.US_ASCII);
      if (!text.endsWith("\r\n")) {
        return false;
      }
      int size = Integer.parseInt(text.strip(), 16);
      int before = body.size();
      readBytes(input, body, size);
      if (body.size() - before < size) {
        return false;
      }
      line.reset();
      readUntil(input, line, "\r\n");
      if (line.size() != 2) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  /** Reads until the bytes end with a text; returns false if the connection was reset before. */
  private static boolean readUntil(InputStream input, ByteArrayOutputStream bytes, String end)
      throws IOException {
    boolean orderly = true;
    while (orderly && !bytes.toString(StandardCharsets.UTF_8).endsWith(end)) {
      int before = bytes.size();
      orderly = readBytes(input, bytes, 1);
      if (bytes.size() == before) {
        return orderly;
      }
    }
    return orderly;
  }

  /** Reads a number of bytes or to the end; returns false if the connection was reset before. */
  private static boolean readBytes(InputStream input, ByteArrayOutputStream bytes, int count)
      throws IOException {
    try {
      for (int i = 0; i < count; i++) {
        int next = input.read();
        if (next < 0) {
          return true;
        }
        bytes.write(next);
      }
      return true;
    } catch (java.net.SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      return false;
    }
  }
}
