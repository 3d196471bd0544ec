package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.http.HttpServers;

/** A response without length or chunks, to a caller of HTTP/1.0, on real sockets. */
class ResponseThatEndsWithItsConnectionTest {
  private static final int SOCKET_TIMEOUT_MS = 20_000;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int MAXIMUM_HEADER_BYTES = 8_192;

  /** More than the caller's socket takes, less than both sockets hold. */
  private static final int SMALL_PIECE_BYTES = 8_192;

  /** All pieces together are more than both sockets hold. */
  private static final int LARGE_PIECE_BYTES = 1_024 * 1_024;

  private static final int LARGE_PIECES = 32;
  private static final Duration LONG = Duration.ofMinutes(1);
  private static final Duration SHORT = Duration.ofMillis(500);

  private final CountDownLatch firstPieceWritten = new CountDownLatch(1);
  private final CountDownLatch completed = new CountDownLatch(1);
  private Server server;
  private Socket caller;
  private volatile int pieces = 1;
  private volatile int pieceBytes = SMALL_PIECE_BYTES;
  private volatile boolean finishes = true;
  private String version = "HTTP/1.0";

  /** Writes its pieces one after the other and then finishes the response, if it is to. */
  private final class PieceHandler extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Callback counted = Callback.from(callback, completed::countDown);
      JettyResponseWriter writer = new JettyResponseWriter(request, response, counted, () -> false);
      writer.begin(200, HttpFields.EMPTY);
      write(writer, pieces);
      return true;
    }

    private void write(JettyResponseWriter writer, int left) {
      if (left > 0) {
        writer.write(
            ByteBuffer.allocate(pieceBytes),
            () -> {
              firstPieceWritten.countDown();
              write(writer, left - 1);
            });
      } else if (finishes) {
        writer.finish();
      }
    }
  }

  @BeforeEach
  void createCaller() throws IOException {
    caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    caller.setSoTimeout(SOCKET_TIMEOUT_MS);
  }

  private void request(Duration idleTimeout) throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = HttpServers.create("test", any, MAXIMUM_HEADER_BYTES, idleTimeout, new PieceHandler());
    caller.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), HttpServers.start(server)));
    caller
        .getOutputStream()
        .write(("GET / " + version + "\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    HttpServers.stop(server);
  }

  private static void await(CountDownLatch latch) throws InterruptedException {
    assertThat(latch.await(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
  }

  private CallerAnswer readAnswer() throws IOException {
    return CallerAnswer.read(caller.getInputStream());
  }

  /** Guards against pieces that the end of the connection takes from a caller that reads late. */
  @Test
  void isWholeForACallerThatReadsLate() throws Exception {
    request(LONG);
    await(completed);
    CallerAnswer answer = readAnswer();
    assertThat(answer.complete()).isTrue();
    assertThat(answer.body()).hasSize(SMALL_PIECE_BYTES);
  }

  /** Guards against a server that stops and ends a response in an orderly way. */
  @Test
  void doesNotLookCompleteIfTheServerStopsWithinIt() throws Exception {
    finishes = false;
    request(LONG);
    await(firstPieceWritten);
    HttpServers.stop(server);
    assertThat(readAnswer().complete()).isFalse();
  }

  /** Guards against a response that is finished although a write of it has failed. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.0", "HTTP/1.1"})
  void doesNotLookCompleteIfAWriteHasFailed(String version) throws Exception {
    this.version = version;
    pieces = LARGE_PIECES;
    pieceBytes = LARGE_PIECE_BYTES;
    request(SHORT);
    await(completed);
    assertThat(readAnswer().complete()).isFalse();
  }
}
