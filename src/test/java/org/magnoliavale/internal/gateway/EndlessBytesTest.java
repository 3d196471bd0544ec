package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliavale.internal.http.EndlessBytes;
import org.magnoliavale.internal.http.EndlessResponse;
import org.magnoliavale.internal.http.EndlessServer;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonCallResult;
import org.magnoliavale.internal.http.JsonClient;

/** An endpoint sends bytes without end in place of a response, within one or after one. */
class EndlessBytesTest extends GatewayFixture {
  /** Maximum size of a buffered response. */
  private static final long MAXIMUM_RESPONSE_BYTES = 16L << 20;

  private static CompletableFuture<Long> sendWithoutEnd(
      RawEndpoint.ReceivedRequest received, String start, String repeated) throws Exception {
    received.send(start);
    return received.sendUntilClosed(repeated);
  }

  private void assertOthersAreAnswered() throws Exception {
    try (Socket other = connect()) {
      send(other, "/safe/other", "id-2");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.respond(200, "sound");
      assertThat(readUntil(other, "sound")).contains(" 200 ");
    }
  }

  private static long maximumTaken(EndlessResponse form) {
    return form.isBody()
        ? MAXIMUM_RESPONSE_BYTES + EndlessBytes.MAXIMUM_TAKEN
        : EndlessBytes.MAXIMUM_TAKEN;
  }

  @Nested
  class Attempts {
    @ParameterizedTest
    @EnumSource
    void connectionIsClosedAtABoundAndTheCallMayHaveRun(EndlessResponse form) throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/unsafe/x", "id-1");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        CompletableFuture<Long> taken =
            sendWithoutEnd(received, form.start("id-1"), form.repeated());
        if (form.isComplete()) {
          // The next request could get this connection before the bytes that follow have come.
          taken.get();
        }
        assertOthersAreAnswered();
        assertThat(taken.get()).isLessThan(maximumTaken(form));
        String status = form.isComplete() ? "HTTP/1.1 200 " : "HTTP/1.1 502 ";
        assertThat(readUntil(caller, "\r\n")).startsWith(status);
      }
    }

    @ParameterizedTest
    @EnumSource
    void idempotentCallIsRetried(EndlessResponse form) throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/safe/x", "id-1");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        CompletableFuture<Long> taken =
            sendWithoutEnd(received, form.start("id-1"), form.repeated());
        assertThat(taken.get()).isLessThan(maximumTaken(form));
        assertThat(readUntil(caller, "\r\n")).doesNotContain(" 503 ").doesNotContain(" 429 ");
      }
    }

    // Guards against reading on after the abort, which waited for the end of the bytes.
    @ParameterizedTest
    @EnumSource
    void connectionIsClosedWhenTheCallerLeaves(EndlessResponse form) throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/unsafe/x", "id-1");
        received = endpoint.nextRequest();
        received.send(form.start("id-1"));
      }
      assertThat(received.sendUntilClosed(form.repeated()).get()).isLessThan(maximumTaken(form));
    }
  }

  @Nested
  class Streams {
    @Test
    void eventWithoutEndIsRefusedAndTheStreamIsCut() throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        received.beginUnframedStream();
        CompletableFuture<Long> taken = sendWithoutEnd(received, EVENT + "data: ", "a");
        assertOthersAreAnswered();
        assertThat(taken.get()).isLessThan(EndlessBytes.MAXIMUM_TAKEN);
        assertThat(readUntil(caller, "no such text")).contains(EVENT).doesNotContain("0\r\n\r\n");
      }
    }

    @ParameterizedTest
    @EnumSource(names = {"CHUNK_EXTENSION", "CHUNK_SIZE", "TRAILER_VALUE", "TRAILER_FIELDS"})
    void framingWithoutEndCutsTheStream(EndlessResponse form) throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        received.beginStream();
        received.sendChunk(EVENT);
        String start = form.start("").split("\r\n\r\n", 2)[1];
        CompletableFuture<Long> taken = sendWithoutEnd(received, start, form.repeated());
        assertThat(taken.get()).isLessThan(EndlessBytes.MAXIMUM_TAKEN);
        assertThat(readUntil(caller, "no such text")).contains(EVENT).doesNotContain("0\r\n\r\n");
      }
    }

    @Test
    void eventsWithoutEndAreNotReadAfterTheCallerLeft() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        received = endpoint.nextRequest();
        received.beginUnframedStream();
        received.send(EVENT);
        readUntil(caller, "data: a");
      }
      assertThat(received.sendUntilClosed("data: b\n\n").get())
          .isLessThan(EndlessBytes.MAXIMUM_TAKEN);
    }
  }

  @Nested
  class ManyAtOnce {
    /** Guards against endless bodies that use up the heap; with 50 and a small heap, by hand. */
    @Test
    void endAndLeaveRoomForOthers() throws Exception {
      List<Socket> callers = new ArrayList<>();
      List<CompletableFuture<Long>> taken = new ArrayList<>();
      for (int number = 0; number < Integer.getInteger("endless.bodies", 12); number++) {
        callers.add(connect());
        send(callers.getLast(), "/unsafe/x", "id-" + number);
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        String start = EndlessResponse.CHUNKED_BODY.start("id-" + number);
        taken.add(sendWithoutEnd(received, start, EndlessResponse.CHUNKED_BODY.repeated()));
      }
      assertOthersAreAnswered();
      for (CompletableFuture<Long> bytes : taken) {
        assertThat(bytes.get()).isLessThan(maximumTaken(EndlessResponse.CHUNKED_BODY));
      }
      for (Socket caller : callers) {
        assertThat(readUntil(caller, "\r\n")).startsWith("HTTP/1.1 502 ");
        caller.close();
      }
    }
  }

  @Nested
  class IdleConnections {
    // Guards against a connection in the pool that goes on receiving.
    @Test
    void bytesThatBelongToNoRequestCloseTheConnection() throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/unsafe/x", "id-1");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        received.send(received.response(200, "whole", "X-Response-Signature: s"));
        readUntil(caller, "whole");
        assertThat(received.sendUntilClosed("HTTP/1.1 100 Continue\r\n\r\n").get())
            .isLessThan(EndlessBytes.MAXIMUM_TAKEN);
      }
    }
  }

  @Nested
  class ControlCalls {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    @ParameterizedTest
    @EnumSource
    void connectionIsClosedAtABoundAndTheOutcomeIsUnknown(EndlessResponse form) throws Exception {
      HttpClient client = new JettyTransport().createClient("control", 4, TIMEOUT, TIMEOUT);
      HttpClients.start(client);
      try (EndlessServer server = new EndlessServer(form)) {
        JsonCallResult result = JsonClient.of(client).get(server.address(), "/x", TIMEOUT);
        assertThat(result)
            .isInstanceOf(
                form.isComplete()
                    ? JsonCallResult.Response.class
                    : JsonCallResult.OutcomeUnknown.class);
        assertThat(server.awaitTaken()).isLessThan(EndlessBytes.MAXIMUM_TAKEN);
        assertThat(JsonClient.of(client).get(server.address(), "/y", TIMEOUT))
            .isInstanceOf(JsonCallResult.Response.class);
      } finally {
        HttpClients.stop(client);
      }
    }
  }
}
