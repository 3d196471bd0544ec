package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.logging.Logs;

/** Streams to callers whose connections close after them, on real sockets. */
class BrokenStreamOfClosingCallerTest extends ForwarderFixture {
  private static final byte[] REQUEST =
      "{\"model\":\"menu\",\"stream\":true}".getBytes(StandardCharsets.UTF_8);
  private static final String EVENT_ZERO = "id: 0\ndata: a\n\n";
  private static final String DONE = "data: [DONE]\n\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final int SOCKET_TIMEOUT_MS = 20_000;
  private static final int MAXIMUM_HEADER_BYTES = 8_192;
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(1);

  private final CountDownLatch released = new CountDownLatch(1);
  private Server server;
  private Socket caller;

  /** How a caller says that its connection ends after the response. */
  enum Closing {
    CLOSE("HTTP/1.1", "Connection: close\r\n"),
    OLD("HTTP/1.0", "");

    private final String version;
    private final String header;

    Closing(String version, String header) {
      this.version = version;
      this.header = header;
    }

    String request() {
      return "POST / " + version + "\r\nHost: h\r\nContent-Length: 0\r\n" + header + "\r\n";
    }
  }

  private final class StreamHandler extends BlockingHandler {
    StreamHandler() {
      super(Logs.of("test"));
    }

    @Override
    protected void respond(Request request, Response response, Callback callback)
        throws IOException {
      new ModelRequestHandler(forwarder(), new DemandCounter())
          .complete(
              context(Duration.ofSeconds(30)), "/v1/completions", REQUEST, response, callback);
    }
  }

  /** Content that does not go on until the test has ended, and then fails. */
  private final class StalledContent extends InputStream {
    @Override
    public int read() throws IOException {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      throw new IllegalStateException("the content is broken");
    }
  }

  private AttemptResult stalledResponse() {
    InputStream first = new ByteArrayInputStream(EVENT_ZERO.getBytes(StandardCharsets.UTF_8));
    return ScriptedSender.response(200, new SequenceInputStream(first, new StalledContent()));
  }

  @BeforeEach
  void start() {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server =
        HttpServers.create("test", any, MAXIMUM_HEADER_BYTES, IDLE_TIMEOUT, new StreamHandler());
    HttpServers.start(server);
  }

  @AfterEach
  void stop() throws IOException {
    released.countDown();
    caller.close();
    HttpServers.stop(server);
  }

  private void request(Closing closing) throws IOException {
    caller = new Socket(InetAddress.getLoopbackAddress(), server.getURI().getPort());
    caller.setSoTimeout(SOCKET_TIMEOUT_MS);
    caller.getOutputStream().write(closing.request().getBytes(StandardCharsets.US_ASCII));
  }

  private String readUntil(String text) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = 0;
    while (next >= 0 && !bytes.toString(StandardCharsets.UTF_8).endsWith(text)) {
      next = caller.getInputStream().read();
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** Reads to the end; returns whether the response is complete by its framing. */
  private boolean endsAsComplete(String beginning) throws IOException {
    try {
      String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return !beginning.contains("chunked") || rest.endsWith(LAST_CHUNK);
    } catch (SocketException e) {
      return false;
    }
  }

  @ParameterizedTest
  @EnumSource(Closing.class)
  void isCompleteIfItDidNotBreakOff(Closing closing) throws Exception {
    sender.then(ScriptedSender.response(200, EVENT_ZERO + DONE));
    request(closing);
    String beginning = readUntil(DONE);
    assertThat(beginning).contains(EVENT_ZERO);
    assertThat(endsAsComplete(beginning)).isTrue();
  }

  /** Guards against a server that stops and ends a stream in an orderly way. */
  @ParameterizedTest
  @EnumSource(Closing.class)
  void doesNotLookCompleteIfTheServerStopsWithinIt(Closing closing) throws Exception {
    sender.then(stalledResponse());
    request(closing);
    String beginning = readUntil(EVENT_ZERO);
    HttpServers.stop(server);
    assertThat(endsAsComplete(beginning)).isFalse();
  }

  /** Guards against an internal error that ends a stream in an orderly way. */
  @ParameterizedTest
  @EnumSource(Closing.class)
  void doesNotLookCompleteAfterAnInternalError(Closing closing) throws Exception {
    sender.then(stalledResponse());
    request(closing);
    String beginning = readUntil(EVENT_ZERO);
    released.countDown();
    assertThat(endsAsComplete(beginning)).isFalse();
  }
}
