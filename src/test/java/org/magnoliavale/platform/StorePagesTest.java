package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonClient;

/** Guards against a read of the store that never ends, and with it the polling of its table. */
class StorePagesTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String FIRST_PAGE =
      "{\"has-more\":true,\"rows\":[{\"key\":\"a\",\"schema-version\":1,\"value\":\"AA==\"}]}";

  private final HttpClient http = HttpClients.create("test", 4, TIMEOUT, TIMEOUT);
  private ServerSocket store;

  @BeforeEach
  void start() throws IOException {
    HttpClients.start(http);
    store = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    store.close();
    HttpClients.stop(http);
  }

  private void answerAll(String firstBody, String laterBody) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                answer(firstBody);
                while (true) {
                  answer(laterBody);
                }
              } catch (IOException e) {
                // The test closed the server.
                return;
              }
            });
  }

  private void answer(String body) throws IOException {
    try (Socket socket = store.accept()) {
      socket.getInputStream().read(new byte[8_192]);
      String head =
          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n";
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {FIRST_PAGE, "{\"has-more\":true,\"rows\":[]}", "{\"has-more\":true}"})
  void endsIfThePagesDoNotGoOn(String laterPage) throws Exception {
    answerAll(FIRST_PAGE, laterPage);
    StoreClient client =
        new StoreClient(
            JsonClient.of(http),
            new InetSocketAddress(store.getInetAddress(), store.getLocalPort()),
            TIMEOUT);
    CompletableFuture<StoreClient.Result> result = new CompletableFuture<>();
    Thread.ofVirtual().start(() -> result.complete(client.readAll("servers", "")));
    assertThat(result.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
        .isInstanceOf(StoreClient.Result.Unavailable.class);
  }
}
