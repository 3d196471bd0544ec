package org.magnoliavale.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that is lost on a kept connection that was reset before it was sent. */
class ResetOfIdleConnectionTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final long PAUSE_MS = 1;
  private static final String HEAD_END = "\r\n\r\n";

  private final HttpClient http = HttpClients.create("test", 4, TIMEOUT, Duration.ofMinutes(5));
  private final JsonClient client = JsonClient.of(http);
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout((int) TIMEOUT.toMillis());
    HttpClients.start(http);
  }

  @AfterEach
  void stop() throws IOException {
    HttpClients.stop(http);
    server.close();
  }

  private CompletableFuture<JsonCallResult> send() {
    InetSocketAddress address =
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    return CompletableFuture.supplyAsync(
        () -> client.send("POST", address, "/x", Map.of(), new byte[1], TIMEOUT));
  }

  /** Accepts a connection and answers the request on it. */
  private Socket answer() throws IOException {
    Socket socket = server.accept();
    InputStream input = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith(HEAD_END)) {
      head.append((char) input.read());
    }
    input.skipNBytes(1);
    socket
        .getOutputStream()
        .write(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static int connections(Destination destination) {
    HttpDestination pooled = (HttpDestination) destination;
    return ((AbstractConnectionPool) pooled.getConnectionPool()).getConnectionCount();
  }

  private int connections() {
    return http.getDestinations().stream().mapToInt(ResetOfIdleConnectionTest::connections).sum();
  }

  private void awaitNoConnection() throws InterruptedException {
    long start = System.nanoTime();
    while (connections() > 0 && System.nanoTime() - start < TIMEOUT.toNanos()) {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void nextRequestGetsANewConnection(boolean reset) throws Exception {
    CompletableFuture<JsonCallResult> first = send();
    Socket kept = answer();
    assertThat(first.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
        .isInstanceOf(JsonCallResult.Response.class);
    if (reset) {
      kept.setSoLinger(true, 0);
    }
    kept.close();
    awaitNoConnection();
    assertThat(connections()).isZero();
    CompletableFuture<JsonCallResult> second = send();
    answer().close();
    assertThat(second.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
        .isInstanceOf(JsonCallResult.Response.class);
  }
}
