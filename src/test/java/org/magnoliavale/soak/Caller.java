package org.magnoliavale.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Optional;

/** A caller with at most one connection, which it keeps if it is asked to. */
final class Caller implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int OK = 200;
  private static final int SMALL_BUFFER = 4_096;
  private static final long SLOW_READER_PAUSE_MS = 50;
  private static final long PATIENCE_MS = 1_500;

  private final PlayClock clock;
  private Socket socket;
  private InputStream in;
  private int instance;
  private boolean used;

  Caller(PlayClock clock) {
    this.clock = clock;
  }

  boolean isConnected() {
    return socket != null;
  }

  /** Connects anew; returns whether the instance took the connection. */
  boolean connect(int index, int port, Kind kind) {
    close();
    try {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      if (kind == Kind.SLOW_READER) {
        socket.setReceiveBufferSize(SMALL_BUFFER);
      }
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
      in = new BufferedInputStream(socket.getInputStream(), SMALL_BUFFER);
      instance = index;
      used = false;
      return true;
    } catch (IOException e) {
      // A stopping instance refuses connections; no request was sent.
      close();
      return false;
    }
  }

  /** Sends a request and reads its response; empty if it could not be sent whole. */
  Optional<Exchange> exchange(String id, Kind kind, String target, Form form) {
    boolean kept = used;
    used = true;
    long sent = clock.now();
    try {
      send(id, kind, target, form);
    } catch (IOException e) {
      // The connection had ended before the request was sent.
      close();
      return Optional.empty();
    }
    long read = clock.now();
    ReceivedBody body = new ReceivedBody();
    int status = 0;
    boolean whole = false;
    String failure = "";
    try {
      socket.setSoTimeout((int) (kind.timeoutMs() + PATIENCE_MS));
      HttpMessage head = HttpMessage.readHead(in);
      if (head == null) {
        failure = "closed before a response";
      } else {
        status = Integer.parseInt(head.startLine().split(" ")[1]);
        head.readResponseBody(in, piece -> receive(piece, kind, body));
        whole = status != OK || body.isWhole(target);
        failure = whole ? "" : Exchange.LOOKS_COMPLETE;
      }
      if (head == null || head.closesConnection() || form.closesConnection()) {
        close();
      }
    } catch (IOException e) {
      failure = e.toString();
      close();
    }
    return Optional.of(
        new Exchange(
            id,
            kind,
            form,
            instance,
            kept,
            sent,
            read,
            clock.now(),
            status,
            body.bytes(),
            whole,
            failure));
  }

  private static void receive(byte[] piece, Kind kind, ReceivedBody body) {
    body.add(piece);
    if (kind == Kind.SLOW_READER) {
      PlayClock.sleep(SLOW_READER_PAUSE_MS);
    }
  }

  private void send(String id, Kind kind, String target, Form form) throws IOException {
    OutputStream out = socket.getOutputStream();
    RequestBody body = form.body();
    WorkerMessages.writeText(out, head(id, kind, target, form) + body.piece(0));
    for (int number = 1; number < body.pieces(); number++) {
      PlayClock.sleep(body.gapMs());
      WorkerMessages.writeText(out, body.piece(number));
    }
  }

  private static String head(String id, Kind kind, String target, Form form) {
    String model = "X-Model: " + WorkerDescription.MODEL + "\r\nX-Token-Counts: 200,60\r\n";
    return """
        POST %s%s %s\r
        Host: %s\r
        X-Request-Attempt-Id: %s\r
        X-Time-Remaining: %d\r
        %s%s\r
        """
        .formatted(
            target,
            form.query(),
            form.version(),
            SoakDeployment.HOST,
            id,
            kind.timeoutMs(),
            kind.isStream() ? model : "",
            form.headers());
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException("a socket cannot be closed", e);
      }
    }
    socket = null;
  }
}
