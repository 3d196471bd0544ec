package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.call.AttemptEnd;
import org.magnoliavale.internal.call.ConnectionUse;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.UnreadBodyServer;

/** Breaks the connection to an endpoint while its answer is read. */
class BrokenEndOfAnswerTest extends EndpointAnswerFixture {
  private static final String FAILED = "failed LOST";
  private static final int MAXIMUM_CHECKS = 1_000;
  private static final long CHECK_INTERVAL_MS = 10;
  private static final long LONG_IDLE_TIMEOUT_S = 300;
  private static final long SHORT_IDLE_TIMEOUT_MS = 100;

  /** Guards against a reset that a write of the request takes, so that a read finds an end. */
  @Nested
  class ResetThatAWriteTook {
    private final CompletableFuture<Void> writeFailed = new CompletableFuture<>();
    private final CompletableFuture<Void> responseEnded = new CompletableFuture<>();

    /** Makes the client wait after the write has failed, until the response has ended. */
    private void letTheResponseEndFirst() {
      client
          .getRequestListeners()
          .addQueuedListener(
              request ->
                  request
                      .onResponseSuccess(ignored -> responseEnded.complete(null))
                      .onResponseFailure((response, failure) -> responseEnded.complete(null)));
      client
          .getRequestListeners()
          .addFailureListener(
              (request, failure) -> {
                writeFailed.complete(null);
                responseEnded.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
              });
    }

    @ParameterizedTest
    @CsvSource({
      "POST,LENGTH,POOLED",
      "POST,CHUNKS,POOLED",
      "POST,CONNECTION,POOLED",
      "PUT,CONNECTION,POOLED",
      "GET,CONNECTION,POOLED",
      "POST,CONNECTION,OWN"
    })
    void neverLooksComplete(String method, Framing framing, ConnectionUse use) throws Exception {
      letTheResponseEndFirst();
      UnreadBodyServer.Received request = send(method, UnreadBodyServer.LARGE_BODY_BYTES, use);
      request.send(framing.response(false));
      Runnable demand = attempt.awaitContent();
      request.reset();
      writeFailed.get(TIMEOUT_S, TimeUnit.SECONDS);
      demand.run();
      assertThat(attempt.awaitOutcome()).isEqualTo(FAILED);
      AttemptEnd end = attempt.end();
      assertThat(end.requestSent()).isFalse();
      assertThat(end.connection()).startsWith("write-failed");
    }
  }

  @Nested
  class ResetThatAReadTakes {
    @ParameterizedTest
    @EnumSource(Framing.class)
    void neverLooksComplete(Framing framing) throws Exception {
      for (ConnectionUse use : ConnectionUse.values()) {
        UnreadBodyServer.Received request = send("POST", 1, use);
        request.readBody();
        request.send(framing.response(false));
        Runnable demand = attempt.awaitContent();
        request.reset();
        demand.run();
        assertThat(attempt.awaitOutcome()).isEqualTo(FAILED);
        assertThat(attempt.end().connection()).startsWith("read-failed");
      }
    }
  }

  /** Guards against an end that the instance made itself and takes for the endpoint's. */
  @Nested
  class ClosedByTheInstance {
    private Runnable awaitContentOfUnframedAnswer(UnreadBodyServer.Received request)
        throws Exception {
      request.readBody();
      request.send(Framing.CONNECTION.response(false));
      return attempt.awaitContent();
    }

    @Test
    void neverLooksCompleteWhenTheClientStops() throws Exception {
      Runnable demand = awaitContentOfUnframedAnswer(send("POST", 1, ConnectionUse.POOLED));
      HttpClients.stop(client);
      demand.run();
      assertThat(attempt.awaitOutcome()).isEqualTo(FAILED);
    }

    @Test
    void neverLooksCompleteWhenTheSelectorStops() throws Exception {
      Runnable demand = awaitContentOfUnframedAnswer(send("POST", 1, ConnectionUse.POOLED));
      ((HttpClientTransportOverHTTP) client.getTransport()).getClientConnector().stop();
      demand.run();
      assertThat(attempt.awaitOutcome()).isEqualTo(FAILED);
    }

    @Test
    void neverLooksCompleteAfterAnIdleTimeout() throws Exception {
      client
          .getRequestListeners()
          .addQueuedListener(
              request -> request.idleTimeout(SHORT_IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS));
      UnreadBodyServer.Received request = send("POST", 1, ConnectionUse.POOLED);
      Runnable demand = awaitContentOfUnframedAnswer(request);
      request.awaitClose();
      demand.run();
      assertThat(attempt.awaitOutcome()).isEqualTo(FAILED);
    }

    @Test
    void neverLooksCompleteWhenTheAttemptIsCancelled() throws Exception {
      UnreadBodyServer.Received request = send("POST", 1, ConnectionUse.POOLED);
      Runnable demand = awaitContentOfUnframedAnswer(request);
      handle.cancel();
      demand.run();
      assertThat(attempt.awaitOutcome()).isEqualTo(FAILED);
    }
  }

  /** Guards against a dead connection that stays in the pool and loses the next request. */
  @Nested
  class IdleConnection {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leavesThePoolWhenItEnds(boolean reset) throws Exception {
      ((HttpClientTransportOverHTTP) client.getTransport())
          .getClientConnector()
          .setIdleTimeout(Duration.ofSeconds(LONG_IDLE_TIMEOUT_S));
      UnreadBodyServer.Received request = send("POST", 1, ConnectionUse.POOLED);
      request.readBody();
      request.send(Framing.LENGTH.response(true));
      attempt.awaitContent().run();
      assertThat(attempt.awaitOutcome()).isEqualTo("completed " + BODY);
      if (reset) {
        request.reset();
      } else {
        request.close();
      }
      ConnectionPool pool =
          ((HttpDestination) client.getDestinations().getFirst()).getConnectionPool();
      for (int i = 0; i < MAXIMUM_CHECKS && !pool.isEmpty(); i++) {
        TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
      }
      assertThat(pool.isEmpty()).isTrue();
    }
  }
}
