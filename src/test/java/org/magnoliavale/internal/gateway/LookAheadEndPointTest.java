package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reads ahead on a connection, and then lets it be read in small pieces. */
class LookAheadEndPointTest {
  private static final int PIECE_BYTES = 3;
  private static final long TIMEOUT_S = 20;

  /** A connection that reads ahead once it is told to, and reads to its end once it is told to. */
  private static final class PieceConnection extends AbstractConnection {
    private final LookAheadEndPoint endPoint;
    private final BlockingQueue<PieceConnection> opened;
    private final BlockingQueue<LookAheadEndPoint.LookAhead> found = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> textSoFar = new LinkedBlockingQueue<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final CompletableFuture<String> wholeText = new CompletableFuture<>();

    PieceConnection(EndPoint endPoint, Connector connector, BlockingQueue<PieceConnection> opened) {
      super(endPoint, connector.getExecutor());
      this.endPoint = (LookAheadEndPoint) endPoint;
      this.opened = opened;
    }

    @Override
    public void onOpen() {
      super.onOpen();
      opened.add(this);
    }

    LookAheadEndPoint.LookAhead lookAhead() throws InterruptedException {
      endPoint.awaitMore(Callback.from(this::readAhead));
      return found.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void readAhead() {
      try {
        found.add(endPoint.lookAhead());
      } catch (IOException e) {
        wholeText.completeExceptionally(e);
      }
    }

    String readToEnd() throws Exception {
      fillInterested();
      return wholeText.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Reads a text of the same length as another, while the caller sends nothing. */
    String readText(String text) throws InterruptedException {
      fillInterested();
      String last = "";
      while (last != null && last.length() < text.length()) {
        last = textSoFar.poll(TIMEOUT_S, TimeUnit.SECONDS);
      }
      return last;
    }

    @Override
    public void onFillable() {
      ByteBuffer piece = BufferUtil.allocate(PIECE_BYTES);
      try {
        int count = endPoint.fill(piece);
        if (count < 0) {
          wholeText.complete(bytes.toString(StandardCharsets.US_ASCII));
          return;
        }
        bytes.writeBytes(BufferUtil.toArray(piece));
        textSoFar.add(bytes.toString(StandardCharsets.US_ASCII));
        fillInterested();
      } catch (IOException e) {
        wholeText.completeExceptionally(e);
      }
    }
  }

  private static final class PieceConnectionFactory extends AbstractConnectionFactory {
    private final BlockingQueue<PieceConnection> opened;

    PieceConnectionFactory(BlockingQueue<PieceConnection> opened) {
      super("pieces");
      this.opened = opened;
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
      return new PieceConnection(endPoint, connector, opened);
    }
  }

  private final BlockingQueue<PieceConnection> opened = new LinkedBlockingQueue<>();
  private final Server server = new Server();
  private Socket caller;
  private PieceConnection connection;

  @BeforeEach
  void connect() throws Exception {
    CallerConnector connector = new CallerConnector(server, new PieceConnectionFactory(opened));
    server.addConnector(connector);
    server.start();
    caller = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort());
    connection = opened.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() throws Exception {
    caller.close();
    server.stop();
  }

  private void send(String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Guards against bytes that were read ahead and that nobody is told of. */
  @Test
  void givesWhatWasReadAheadThoughNothingFollows() throws Exception {
    send("0123456789");
    assertThat(connection.lookAhead()).isEqualTo(LookAheadEndPoint.LookAhead.OPEN);
    assertThat(connection.readText("0123456789")).isEqualTo("0123456789");
  }

  @Test
  void givesWhatWasReadAheadBeforeTheRest() throws Exception {
    send("0123456789");
    assertThat(connection.lookAhead()).isEqualTo(LookAheadEndPoint.LookAhead.OPEN);
    send("abcde");
    assertThat(connection.lookAhead()).isEqualTo(LookAheadEndPoint.LookAhead.OPEN);
    send("fgh");
    caller.shutdownOutput();
    assertThat(connection.readToEnd()).isEqualTo("0123456789abcdefgh");
  }

  @Test
  void givesWhatWasReadAheadAfterTheCallerHasLeft() throws Exception {
    send("0123456789");
    assertThat(connection.lookAhead()).isEqualTo(LookAheadEndPoint.LookAhead.OPEN);
    caller.close();
    assertThat(connection.lookAhead()).isEqualTo(LookAheadEndPoint.LookAhead.CLOSED);
    assertThat(connection.readToEnd()).isEqualTo("0123456789");
  }

  @Test
  void readsAheadToItsBoundAndLeavesTheRest() throws Exception {
    String text = "0123456789".repeat(3_000);
    send(text);
    LookAheadEndPoint.LookAhead found = LookAheadEndPoint.LookAhead.OPEN;
    while (found == LookAheadEndPoint.LookAhead.OPEN) {
      found = connection.lookAhead();
    }
    assertThat(found).isEqualTo(LookAheadEndPoint.LookAhead.FULL);
    caller.shutdownOutput();
    assertThat(connection.readToEnd()).isEqualTo(text);
  }
}
