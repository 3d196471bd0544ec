package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.fail;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a complete instance between plain caller sockets and a raw endpoint. */
class GatewayInstanceTest extends GatewayFixture {
  private static final int MAXIMUM_CHECKS = 1_000;

  /** More than the buffers of a connection hold. */
  private static final int LARGE_RESPONSE_BYTES = 15 << 20;

  @Nested
  class CallerDisconnect {
    @Test
    void cancelsAttemptBeforeFirstEvent() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        received = endpoint.nextRequest();
      }
      assertThat(received.awaitClose()).isTrue();
    }

    @Test
    void cancelsAttemptBetweenEvents() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        received = endpoint.nextRequest();
        received.beginStream();
        received.sendChunk(EVENT);
        readUntil(caller, "data: a");
      }
      assertThat(received.awaitClose()).isTrue();
    }

    @Test
    void cancelsAttemptOnReusedConnection() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/safe/x", "id-1");
        endpoint.nextRequest().respond(200, "first");
        readUntil(caller, "first");
        send(caller, "/stream/x", "id-2");
        received = endpoint.nextRequest();
      }
      assertThat(received).isNotNull();
      assertThat(received.awaitClose()).isTrue();
    }

    /** Guards against an attempt that goes on because its caller sent more before it left. */
    @ParameterizedTest
    @ValueSource(ints = {1, 30, 300, 4_000})
    void cancelsAttemptOfCallerThatHasSentMore(int bytes) throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        received = endpoint.nextRequest();
        String next = "GET /stream/y HTTP/1.1\r\nHost: menus.example\r\nX-Next: ";
        String more = (next + "a".repeat(bytes)).substring(0, bytes);
        caller.getOutputStream().write(more.getBytes(StandardCharsets.US_ASCII));
      }
      assertThat(received.awaitClose()).isTrue();
    }

    @Test
    void cancelsAttemptOfCallerThatHasSentMoreAtOnce() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        String head = " HTTP/1.1\r\nHost: menus.example\r\n\r\n";
        String both = "GET /stream/x" + head + "GET /stream/y" + head;
        caller.getOutputStream().write(both.getBytes(StandardCharsets.US_ASCII));
        received = endpoint.nextRequest();
      }
      assertThat(received.awaitClose()).isTrue();
      assertThat(endpoint.hasRequest()).isFalse();
    }
  }

  @Test
  void streamIsForwardedCompletelyAndConnectionIsReused() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/stream/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      assertThat(received.header("X-Expected-Instance")).isEqualTo("i-1");
      received.beginStream();
      received.sendChunk(EVENT);
      received.endStream();
      assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).contains("X-Response-Signature");
      send(caller, "/nowhere/", "id-2");
      assertThat(readUntil(caller, "no such route")).contains(" 404 ");
    }
  }

  @Test
  void pipelinedRequestIsAnsweredAfterFirst() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/safe/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      send(caller, "/nowhere/", "id-2");
      received.respond(200, "first");
      assertThat(readUntil(caller, "first")).contains(" 200 ");
      assertThat(readUntil(caller, "no such route")).contains(" 404 ");
    }
  }

  @Test
  void metricsPortReportsAnsweredCalls() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/safe/x", "id-1");
      endpoint.nextRequest().respond(200, "first");
      readUntil(caller, "first");
    }
    assertThat(awaitMetric("calls_answered 1.0")).contains("calls_answered 1.0");
  }

  /**
   * Guards against a drain that ends while a response is still being written to a slow caller,
   * which would get only a part of it.
   */
  @Test
  void requestIsInProgressUntilItsResponseIsWritten() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/safe/x", "id-1");
      endpoint.nextRequest().respond(200, "a".repeat(LARGE_RESPONSE_BYTES));
      awaitMetric("calls_answered 1.0");
      String metrics = awaitMetric("calls_in_progress 0.0");
      assertThat(metrics).contains("calls_in_progress 0.0").contains("requests_in_progress 1.0");
      readUntil(caller, "\r\n\r\n");
      assertThat(caller.getInputStream().readNBytes(LARGE_RESPONSE_BYTES))
          .hasSize(LARGE_RESPONSE_BYTES);
      assertThat(awaitMetric("requests_in_progress 0.0")).contains("requests_in_progress 0.0");
    }
  }

  @Test
  void truncatedStreamDoesNotAppearComplete() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/stream/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.beginStream();
      received.sendChunk(EVENT + "id: 2\nda");
      readUntil(caller, "data: a");
      received.endStream();
      assertThat(readUntil(caller, "0\r\n\r\n")).doesNotContain("0\r\n\r\n");
    }
  }

  /** A stream that has neither a length nor chunks and ends with its connection. */
  @Nested
  class UnframedStream {
    private Socket caller;
    private RawEndpoint.ReceivedRequest received;

    @BeforeEach
    void request() throws Exception {
      caller = connect();
      send(caller, "/stream/x", "id-1");
      received = endpoint.nextRequest();
      received.beginUnframedStream();
    }

    @AfterEach
    void close() throws IOException {
      caller.close();
    }

    @Test
    void isCompleteAfterAWholeEvent() throws Exception {
      received.send(EVENT);
      received.close();
      assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).endsWith("0\r\n\r\n");
    }

    @Test
    void doesNotAppearCompleteIfItEndsInsideAnEvent() throws Exception {
      received.send(EVENT + "id: 2\nda");
      received.close();
      assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).doesNotContain("0\r\n\r\n");
    }

    @Test
    void doesNotAppearCompleteIfItIsReset() throws Exception {
      received.send(EVENT);
      assertThat(readUntil(caller, EVENT)).contains(EVENT);
      received.reset();
      assertThat(readUntil(caller, "0\r\n\r\n")).doesNotContain("0\r\n\r\n");
    }

    @Test
    void isNoSuccessIfItEndsBeforeItsFirstEvent() throws Exception {
      received.close();
      assertThat(readUntil(caller, "\r\n\r\n")).doesNotContain(" 200 ");
    }
  }

  @Test
  void stopDrainsCallsAndThenClosesPort() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/stream/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.beginStream();
      received.sendChunk(EVENT);
      readUntil(caller, "data: a");
      Thread stop = Thread.ofVirtual().start(instance::stop);
      received.endStream();
      assertThat(readUntil(caller, "0\r\n\r\n")).endsWith("0\r\n\r\n");
      stop.join();
    }
    awaitClosedPort();
  }

  /** Guards against a response that its connection's end would complete, since it is to close. */
  @Test
  void streamThatBreaksOffDuringAStopDoesNotAppearComplete() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/stream/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      Thread stop = Thread.ofVirtual().start(instance::stop);
      awaitStopping();
      received.beginStream();
      received.sendChunk(EVENT);
      received.close();
      CallerAnswer answer = CallerAnswer.read(caller.getInputStream());
      assertThat(answer.head()).contains("Connection: close");
      assertThat(answer.body()).isEqualTo(EVENT);
      assertThat(answer.complete()).isFalse();
      stop.join();
    }
  }

  /** Guards against a response that looks complete because the instance ends within it. */
  @Test
  void streamWithoutChunksDoesNotAppearCompleteIfTheInstanceEnds() throws Exception {
    try (Socket caller = connect()) {
      String head = "GET /stream/x HTTP/1.0\r\nHost: menus.example\r\nX-Request-Attempt-Id: id-1";
      caller.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.beginStream();
      received.sendChunk(EVENT);
      assertThat(readUntil(caller, EVENT)).contains(EVENT);
      halt();
      assertThatThrownBy(() -> readUntil(caller, "nothing more"))
          .isInstanceOf(SocketException.class);
    }
  }

  /** Returns when responses announce that their connections end. */
  private void awaitStopping() throws Exception {
    for (int i = 0; i < MAXIMUM_CHECKS; i++) {
      try (Socket socket = connect()) {
        send(socket, "/nowhere/", "id-0");
        if (readUntil(socket, "\r\n\r\n").contains("Connection: close")) {
          return;
        }
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
    fail("the instance does not stop");
  }

  /** Returns when connections to the port are refused; fails if it keeps accepting them. */
  private void awaitClosedPort() throws Exception {
    for (int attempt = 0; attempt < MAXIMUM_CHECKS; attempt++) {
      try (Socket socket = connect()) {
        assertThat(socket.isConnected()).isTrue();
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      } catch (IOException e) {
        assertThat(e).hasMessageContaining("refused");
        return;
      }
    }
    fail("the caller port still accepts connections");
  }
}
