package org.magnoliavale.internal.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * An endpoint on a plain socket that answers each request with its body and records it as it came.
 */
public final class EchoEndpoint implements AutoCloseable {
  private static final String HEAD_END = "\r\n\r\n";
  private static final int BACKLOG = 200;

  /** Headers that an answer repeats, by either protocol. */
  private static final List<String> REPEATED_HEADERS =
      List.of("X-Request-Attempt-Id", HeaderNames.ATTEMPT_ID);

  /** A request as it came. */
  public record Received(String method, String target, byte[] body) {}

  private final ServerSocket server;
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private volatile Consumer<Received> beforeAnswer = ignored -> {};

  /** Starts an endpoint on a free port. */
  public EchoEndpoint() throws IOException {
    server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns its address. */
  public InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Returns the requests that have come so far, in their order. */
  public List<Received> received() {
    return List.copyOf(received);
  }

  /** Forgets the requests that have come so far, and lets a task run before each later answer. */
  public void reset(Consumer<Received> beforeEachAnswer) {
    received.clear();
    beforeAnswer = beforeEachAnswer;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test closed the endpoint.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String head = readTo(input, HEAD_END);
        String[] line = head.substring(0, head.indexOf('\r')).split(" ");
        String target = head.substring(line[0].length() + 1, head.indexOf(" HTTP/1.1\r\n"));
        Received request = new Received(line[0], target, readBody(input, head));
        received.add(request);
        beforeAnswer.accept(request);
        answer(socket, head, request);
      }
    } catch (IOException e) {
      // The sender closed the connection.
      return;
    }
  }

  private static void answer(Socket socket, String head, Received request) throws IOException {
    StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n");
    for (String name : REPEATED_HEADERS) {
      String value = header(head, name);
      if (!value.isEmpty()) {
        text.append(name).append(": ").append(value).append("\r\n");
      }
    }
    text.append("Content-Length: ").append(request.body().length).append(HEAD_END);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(request.body());
    socket.getOutputStream().write(bytes.toByteArray());
  }

  private static byte[] readBody(InputStream input, String head) throws IOException {
    if (header(head, "Transfer-Encoding").isEmpty()) {
      String length = header(head, "Content-Length");
      return readExactly(input, length.isEmpty() ? 0 : Integer.parseInt(length));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(readTo(input, "\r\n").strip(), 16);
      body.writeBytes(readExactly(input, size));
      readTo(input, "\r\n");
      if (size == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] readExactly(InputStream input, int count) throws IOException {
    byte[] bytes = input.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException();
    }
    return bytes;
  }

  /** Returns the value of a header, or an empty text. */
  static String header(String head, String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ":";
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(prefix)) {
        return line.substring(prefix.length()).strip();
      }
    }
    return "";
  }

  /** Reads to the end of a text, which is included. */
  static String readTo(InputStream input, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.length() < end.length()
        || !end.contentEquals(text.subSequence(text.length() - end.length(), text.length()))) {
      int next = input.read();
      if (next < 0) {
        throw new EOFException(text.toString());
      }
      text.append((char) next);
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
