package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.route.CallKind;

/** Guards against a whole request that gets neither an answer nor a refusal beside a change. */
class ConfigurationChangeTest extends GatewayFixture {
  private static final int LIMIT_BYTES = 10_000;
  private static final int TIME_REMAINING_MS = 3_000;
  private static final String BODY = "a body";

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String post(String target, String id, int length) {
    return "POST "
        + target
        + " HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: "
        + id
        + "\r\nX-Time-Remaining: "
        + TIME_REMAINING_MS
        + "\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  private static String readAnswer(Socket socket) throws IOException {
    return readUntil(socket, "\r\n\r\n");
  }

  private void dropAllRoutes() throws Exception {
    configure(configuration(2, LIMIT_BYTES, List.of()));
  }

  /** A request whose body is still on its way while the configuration changes. */
  @Nested
  class BodyOnItsWay {
    @Test
    void isRefusedIfItsRouteIsDropped() throws Exception {
      try (Socket caller = connect()) {
        write(caller, post("/unsafe/x", "id-1", BODY.length()) + BODY.substring(1));
        dropAllRoutes();
        write(caller, BODY.substring(0, 1));
        assertThat(readAnswer(caller)).contains(" 404 ");
      }
    }

    @Test
    void isAnsweredIfTheLimitOfBodiesShrinks() throws Exception {
      try (Socket caller = connect()) {
        write(caller, post("/unsafe/x", "id-1", BODY.length()) + BODY.substring(1));
        // The limit that counts is the one at the time at which the head is read.
        assertThat(awaitMetric("requests_in_progress 1.0")).contains("requests_in_progress 1.0");
        configure(configuration(2, 1, standardRoutes()));
        write(caller, BODY.substring(0, 1));
        endpoint.nextRequest().respond(200, "done");
        assertThat(readUntil(caller, "done")).contains(" 200 ");
      }
    }

    @ParameterizedTest
    @ValueSource(ints = {LIMIT_BYTES + 1, 1 << 20, 16 << 20})
    void isRefusedIfItIsLongerThanTheLimit(int length) throws Exception {
      try (Socket caller = connect()) {
        write(caller, post("/unsafe/x", "id-1", length));
        caller.getOutputStream().write(new byte[length]);
        assertThat(readAnswer(caller)).contains(" 413 ");
      }
    }

    @ParameterizedTest
    @ValueSource(ints = {LIMIT_BYTES + 1, 1 << 20, 16 << 20})
    void isRefusedIfItsChunksAreLongerThanTheLimit(int length) throws Exception {
      try (Socket caller = connect()) {
        String head = post("/unsafe/x", "id-1", 0);
        write(caller, head.replace("Content-Length: 0", "Transfer-Encoding: chunked"));
        write(caller, Integer.toHexString(length) + "\r\n");
        caller.getOutputStream().write(new byte[length]);
        write(caller, "\r\n0\r\n\r\n");
        assertThat(readAnswer(caller)).contains(" 413 ");
      }
    }
  }

  /** A call that waits for an endpoint or runs while the configuration changes. */
  @Nested
  class CallInProgress {
    @Test
    void streamIsCompletedAfterItsRouteIsDropped() throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        received.beginStream();
        received.sendChunk(EVENT);
        dropAllRoutes();
        received.endStream();
        assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).endsWith("0\r\n\r\n");
      }
    }

    @Test
    void isAnsweredAfterTheTimeoutOfItsRouteShrinks() throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/unsafe/x", "id-1");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        Duration millisecond = Duration.ofMillis(1);
        configure(
            configuration(
                2,
                LIMIT_BYTES,
                List.of(route("/unsafe/", CallKind.NON_IDEMPOTENT, false, millisecond))));
        received.respond(200, "done");
        assertThat(readUntil(caller, "done")).contains(" 200 ");
      }
    }

    @Test
    void isRefusedIfItsServiceIsDroppedWhileItWaitsForAModel() throws Exception {
      try (Socket caller = connect()) {
        write(
            caller,
            "GET /stream/x HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: id-1\r\n"
                + "X-Model: m\r\nX-Time-Remaining: 2000\r\n\r\n");
        awaitMetric("calls_in_progress 1.0");
        dropAllRoutes();
        assertThat(readAnswer(caller)).contains(" 503 ");
      }
    }
  }

  @Nested
  class KeptConnection {
    @Test
    void isUsedForTheNextRequestAfterAChange() throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/safe/x", "id-1");
        endpoint.nextRequest().respond(200, "first");
        assertThat(readUntil(caller, "first")).contains(" 200 ");
        dropAllRoutes();
        send(caller, "/safe/x", "id-2");
        assertThat(readUntil(caller, "no such route")).contains(" 404 ");
        configure(configuration(3, LIMIT_BYTES, standardRoutes()));
        send(caller, "/safe/x", "id-3");
        endpoint.nextRequest().respond(200, "third");
        assertThat(readUntil(caller, "third")).contains(" 200 ");
      }
    }
  }

  /** A request whose handling throws an exception. */
  @Nested
  class Exceptions {
    private static final Duration UNLIMITED = Duration.ofMillis(Long.MAX_VALUE);

    @Test
    void callIsAnsweredIfTheTimeoutOfItsRouteIsBeyondNanoseconds() throws Exception {
      configure(
          configuration(
              2,
              LIMIT_BYTES,
              List.of(route("/unsafe/", CallKind.NON_IDEMPOTENT, false, UNLIMITED))));
      try (Socket caller = connect()) {
        write(caller, post("/unsafe/x", "id-1", BODY.length()) + BODY);
        endpoint.nextRequest().respond(200, "done");
        assertThat(readUntil(caller, "done")).contains(" 200 ");
      }
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "/unsafe/%zz",
          "/unsafe/[",
          "//",
          "*",
          "unsafe",
          "http://menus.example",
          "?",
          ":"
        })
    void requestWithABodyAndAnOddTargetIsAnswered(String target) throws Exception {
      try (Socket caller = connect()) {
        write(caller, post(target, "id-1", BODY.length()) + BODY);
        assertThat(readAnswer(caller)).startsWith("HTTP/1.1 ");
      }
    }

    @Test
    void connectRequestWithABodyIsAnswered() throws Exception {
      try (Socket caller = connect()) {
        write(
            caller,
            post("menus.example:80", "id-1", BODY.length()).replace("POST", "CONNECT") + BODY);
        assertThat(readAnswer(caller)).startsWith("HTTP/1.1 ");
      }
    }
  }
}
