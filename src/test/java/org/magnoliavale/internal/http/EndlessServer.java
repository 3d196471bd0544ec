package org.magnoliavale.internal.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A server whose first connection gets a response without end, and all others a whole one. */
public final class EndlessServer implements AutoCloseable {
  /** What all connections but the first receive. */
  public static final String SOUND_BODY = "{\"a\":1}";

  private static final long TIMEOUT_S = 30;
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final CompletableFuture<Long> taken = new CompletableFuture<>();

  /** Starts a server. */
  public EndlessServer(EndlessResponse form) throws IOException {
    Thread.ofVirtual().start(() -> accept(form));
  }

  /** Returns the address of the server. */
  public InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Waits until the first connection is closed; returns the number of bytes that it took. */
  public long awaitTaken() throws Exception {
    return taken.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private void accept(EndlessResponse form) {
    try {
      sendWithoutEnd(server.accept(), form);
      while (true) {
        Socket socket = server.accept();
        socket.getInputStream().read(new byte[8_192]);
        send(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Length: " + SOUND_BODY.length() + "\r\n\r\n" + SOUND_BODY);
      }
    } catch (IOException e) {
      // The test closed the server.
      return;
    }
  }

  private void sendWithoutEnd(Socket socket, EndlessResponse form) throws IOException {
    socket.getInputStream().read(new byte[8_192]);
    send(socket, form.start("a"));
    EndlessBytes.writeUntilClosed(socket.getOutputStream(), form.repeated())
        .whenComplete(
            (bytes, failure) -> {
              if (failure == null) {
                taken.complete(bytes);
              } else {
                taken.completeExceptionally(failure);
              }
            });
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
