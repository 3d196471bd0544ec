package org.magnoliavale.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A server on plain sockets that gives any request without body the same text, whatever it is. */
public final class PlainServer implements AutoCloseable {
  private static final String HEAD_END = "\r\n\r\n";
  private static final int BACKLOG = 50;
  private static final long TIMEOUT_S = 20;

  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final CompletableFuture<Void> closedByClient = new CompletableFuture<>();
  private volatile String text = "";

  /** Starts a server. */
  public PlainServer() throws IOException {
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address of the server. */
  public InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Sets what later requests get. */
  public void answerWith(String answer) {
    text = answer;
  }

  /** Waits until the client has closed a connection; fails after a timeout. */
  public void awaitCloseByClient() throws Exception {
    closedByClient.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        Thread.ofVirtual().start(() -> respond(socket));
      }
    } catch (IOException e) {
      // The test closed the server.
      return;
    }
  }

  private void respond(Socket socket) {
    try (socket) {
      while (true) {
        readHead(socket.getInputStream());
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      closedByClient.complete(null);
    }
  }

  private static void readHead(InputStream input) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.US_ASCII).endsWith(HEAD_END)) {
      int next = input.read();
      if (next < 0) {
        throw new EOFException();
      }
      bytes.write(next);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
