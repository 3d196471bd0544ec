package org.magnoliavale.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Head of an HTTP/1.1 message, and reading of messages from a socket. */
record HttpMessage(String startLine, Map<String, String> headers) {
  private static final int HEXADECIMAL = 16;
  private static final int PIECE = 4_096;

  /** Reads a head; null if the connection ends before its first byte. */
  static HttpMessage readHead(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
      if (line == null) {
        throw new EOFException("connection ended within a head");
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new HttpMessage(startLine, headers);
  }

  /** Reads a body of which the head tells the length; throws if the connection ends within it. */
  void readBody(InputStream in, Consumer<byte[]> receiver) throws IOException {
    if (!headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")), receiver);
      return;
    }
    int size = readChunkSize(in);
    while (size > 0) {
      readExactly(in, size, receiver);
      readLine(in);
      size = readChunkSize(in);
    }
    readLine(in);
  }

  /** Reads the body of a response, which may end with its connection. */
  void readResponseBody(InputStream in, Consumer<byte[]> receiver) throws IOException {
    if (headers.containsKey("transfer-encoding") || headers.containsKey("content-length")) {
      readBody(in, receiver);
      return;
    }
    byte[] piece = new byte[PIECE];
    for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
      receiver.accept(Arrays.copyOf(piece, count));
    }
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  boolean closesConnection() {
    return header("connection").equalsIgnoreCase("close");
  }

  private static int readChunkSize(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("connection ended within a body");
    }
    return Integer.parseInt(line.strip(), HEXADECIMAL);
  }

  private static void readExactly(InputStream in, int count, Consumer<byte[]> receiver)
      throws IOException {
    int left = count;
    while (left > 0) {
      byte[] piece = in.readNBytes(Math.min(left, PIECE));
      if (piece.length == 0) {
        throw new EOFException("connection ended within a body");
      }
      left -= piece.length;
      receiver.accept(piece);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      line.write(next);
      next = in.read();
    }
    if (next < 0) {
      throw new EOFException("connection ended within a line");
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }
}
