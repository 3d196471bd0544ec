package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
public final class Http {
  /** First line, headers by lower-case name, and body of a message. */
  public record Message(String startLine, Map<String, String> headers, byte[] body) {
    /** Returns a header, or an empty text. */
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the second word of the first line: a request's path or a response's status. */
    public String second() {
      return startLine.split(" ")[1];
    }

    /** Returns the first word of the first line: a request's method. */
    public String method() {
      return startLine.split(" ")[0];
    }

    /** Returns the body as text. */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  /** Reads the first line and the headers; returns null at the end of the stream. */
  public static Message readHead(InputStream input) throws IOException {
    String start = readLine(input);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    while (true) {
      String line = readLine(input);
      if (line == null) {
        throw new EOFException("end within the headers");
      }
      if (line.isEmpty()) {
        return new Message(start, headers, new byte[0]);
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
  }

  /** Reads a whole request; returns null at the end of the stream. */
  public static Message readRequest(InputStream input) throws IOException {
    Message head = readHead(input);
    if (head == null) {
      return null;
    }
    return new Message(head.startLine(), head.headers(), readBody(input, head, false));
  }

  /** Reads a whole response. */
  public static Message readResponse(InputStream input) throws IOException {
    Message head = readHead(input);
    if (head == null) {
      throw new EOFException("closed before the response");
    }
    return new Message(head.startLine(), head.headers(), readBody(input, head, true));
  }

  private static byte[] readBody(InputStream input, Message head, boolean response)
      throws IOException {
    if (head.header("transfer-encoding").equals("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String line = readLine(input);
        if (line == null) {
          throw new EOFException("end within a chunked body, bytes=" + body.size());
        }
        int size = Integer.parseInt(line.split(";")[0].strip(), 16);
        body.write(readExactly(input, size, body.size()));
        readLine(input);
        if (size == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = head.header("content-length");
    if (!length.isEmpty()) {
      return readExactly(input, Integer.parseInt(length), 0);
    }
    return response ? input.readAllBytes() : new byte[0];
  }

  private static byte[] readExactly(InputStream input, int size, int before) throws IOException {
    byte[] bytes = input.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("end within a body, bytes=" + (before + bytes.length));
    }
    return bytes;
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = input.read();
      if (next < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1);
      }
      if (next != '\r') {
        line.write(next);
      }
    }
  }
}
