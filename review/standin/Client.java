package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to an instance, kept open for several requests. Not thread-safe. */
public final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong();
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final Socket socket;
  private final InputStream input;
  private final OutputStream output;

  /** Connects to a port on loopback. */
  public Client(int port, int readTimeoutMs) throws IOException {
    socket = new Socket();
    socket.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
    socket.setSoTimeout(readTimeoutMs);
    socket.setTcpNoDelay(true);
    input = new BufferedInputStream(socket.getInputStream());
    output = socket.getOutputStream();
  }

  /** Returns a new id of a client attempt. */
  public static String newId() {
    return String.format("%016x", 0x9c41d07b00000000L + IDS.incrementAndGet());
  }

  /** Sends a whole request. */
  public void send(
      String method, String path, String id, long timeMs, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder();
    head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
    head.append("Host: ").append(Deployment.HOST).append("\r\n");
    head.append("X-Request-Attempt-Id: ").append(id).append("\r\n");
    head.append("X-Time-Remaining: ").append(timeMs).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
    all.writeBytes(body);
    output.write(all.toByteArray());
    output.flush();
  }

  /** Reads a whole response; throws if the connection ends before its end. */
  public Http.Message receive() throws IOException {
    return Http.readResponse(input);
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to be closed.
      return;
    }
  }
}
