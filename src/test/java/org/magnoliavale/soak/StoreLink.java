package org.magnoliavale.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The link between instances and the store, whose answers may come late or be lost. */
final class StoreLink implements AutoCloseable {
  private static final int PIECE = 16_384;

  private final PlayClock clock;
  private final int storePort;
  private final ServerSocket server;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private volatile long slowUntil;
  private volatile long slowMs;
  private volatile long losingUntil;

  StoreLink(PlayClock clock, int storePort) throws IOException {
    this.clock = clock;
    this.storePort = storePort;
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().name("store link").start(this::acceptConnections);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Delays each piece of the store's answers. */
  void slowDown(long delayMs, long durationMs) {
    slowMs = delayMs;
    slowUntil = clock.now() + durationMs;
  }

  /** Ends connections in place of answers. */
  void loseAnswers(long durationMs) {
    losingUntil = clock.now() + durationMs;
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket instance = server.accept();
        Socket store = new Socket(InetAddress.getLoopbackAddress(), storePort);
        instance.setTcpNoDelay(true);
        store.setTcpNoDelay(true);
        sockets.add(instance);
        sockets.add(store);
        Thread.ofVirtual().start(() -> forward(instance, store, false));
        Thread.ofVirtual().start(() -> forward(store, instance, true));
      } catch (IOException e) {
        // The link has been closed, which ends the loop, or the connection is already gone.
        continue;
      }
    }
  }

  private void forward(Socket from, Socket to, boolean answers) {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] piece = new byte[PIECE];
      for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
        if (answers && clock.now() < losingUntil) {
          return;
        }
        if (answers && clock.now() < slowUntil) {
          PlayClock.sleep(slowMs);
        }
        out.write(piece, 0, count);
      }
    } catch (IOException e) {
      // Either side has closed its connection, which closes the other one.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
