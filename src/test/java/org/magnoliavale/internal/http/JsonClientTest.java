package org.magnoliavale.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class JsonClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient http = HttpClients.create("test", 4, TIMEOUT, TIMEOUT);
  private final JsonClient client = JsonClient.of(http);

  @BeforeEach
  void start() {
    HttpClients.start(http);
  }

  @AfterEach
  void stop() {
    HttpClients.stop(http);
  }

  @Nested
  class ResponsesWithoutEnd {
    @ParameterizedTest
    @EnumSource
    void connectionIsClosedAtABoundAndTheOutcomeIsUnknown(EndlessResponse form) throws Exception {
      try (EndlessServer server = new EndlessServer(form)) {
        JsonCallResult result = client.get(server.address(), "/x", TIMEOUT);
        assertThat(result)
            .isInstanceOf(
                form.isComplete()
                    ? JsonCallResult.Response.class
                    : JsonCallResult.OutcomeUnknown.class);
        assertThat(server.awaitTaken()).isLessThan(EndlessBytes.MAXIMUM_TAKEN);
        assertThat(client.get(server.address(), "/y", TIMEOUT))
            .isInstanceOfSatisfying(
                JsonCallResult.Response.class,
                response -> assertThat(response.body()).asString().isEqualTo("{\"a\":1}"));
      }
    }
  }

  /** Guards against a wait for a change that ends with the idle timeout of the connection. */
  @Nested
  class ResponseThatTheServerHoldsBack {
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(200);

    private final HttpClient impatient = HttpClients.create("idle", 4, TIMEOUT, IDLE_TIMEOUT);

    @BeforeEach
    void start() {
      HttpClients.start(impatient);
    }

    @AfterEach
    void stop() {
      HttpClients.stop(impatient);
    }

    @Test
    void isAwaitedUntilTheTimeoutOfItsRequest() throws Exception {
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        Thread.ofVirtual().start(() -> answerLate(server));
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        assertThat(JsonClient.of(impatient).get(address, "/x", LONG_TIMEOUT))
            .isInstanceOf(JsonCallResult.Response.class);
      }
    }

    private static void answerLate(ServerSocket server) {
      try (Socket socket = server.accept()) {
        Thread.sleep(IDLE_TIMEOUT.multipliedBy(4));
        socket
            .getOutputStream()
            .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        socket.getInputStream().read(new byte[1_000]);
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Guards against an answer that was reset while its request was sent and looks complete. */
  @Nested
  class ResponseThatIsResetWhileTheRequestIsSent {
    private final CompletableFuture<Void> responseEnded = new CompletableFuture<>();

    /** Makes the client wait after a write has failed, until the response has ended. */
    private void letTheResponseEndFirst() {
      http.getRequestListeners()
          .addQueuedListener(
              request ->
                  request
                      .onResponseSuccess(ignored -> responseEnded.complete(null))
                      .onResponseFailure((response, failure) -> responseEnded.complete(null)));
      http.getRequestListeners()
          .addFailureListener(
              (request, failure) ->
                  responseEnded.orTimeout(LONG_TIMEOUT.toSeconds(), TimeUnit.SECONDS).join());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 99\r\n", "Transfer-Encoding: chunked\r\n"})
    void outcomeIsUnknown(String framing) throws Exception {
      letTheResponseEndFirst();
      try (UnreadBodyServer server = new UnreadBodyServer()) {
        CompletableFuture<Void> headReceived = new CompletableFuture<>();
        http.getRequestListeners()
            .addQueuedListener(
                request -> request.onResponseHeaders(ignored -> headReceived.complete(null)));
        byte[] body = new byte[UnreadBodyServer.LARGE_BODY_BYTES];
        CompletableFuture<JsonCallResult> result =
            CompletableFuture.supplyAsync(
                () -> client.send("POST", server.address(), "/x", Map.of(), body, LONG_TIMEOUT));
        UnreadBodyServer.Received request = server.accept();
        request.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n");
        headReceived.get(LONG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        request.reset();
        assertThat(result.get(LONG_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
            .isInstanceOf(JsonCallResult.OutcomeUnknown.class);
      }
    }
  }
}
