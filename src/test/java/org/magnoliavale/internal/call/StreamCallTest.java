package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

class StreamCallTest extends CallFixture {
  @Nested
  class Streams {
    @Test
    void forwardOnlyCompleteEvents() {
      call("/once/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE + "id: 2\nda");
      assertThat(caller.body()).isEqualTo(EVENT_ONE);
      connector.last().content("ta: b\n\n");
      connector.last().listener().onCompleted();
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void resumeAfterTheLastCompleteEventAtAnotherEndpoint() {
      call("/stream/x");
      String first = connector.last().endpoint();
      connector.last().begin(200);
      connector.last().content(EVENT_ONE + EVENT_TWO + "id: 3\nda");
      connector.last().failAfterSend();
      assertThat(connector.sent()).hasSize(2);
      assertThat(connector.last().request().headers().get("Last-Event-Id")).isEqualTo("2");
      connector.last().respond(200, EVENT_THREE);
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO + EVENT_THREE);
      assertThat(caller.headers().get("X-Response-Signature")).isEqualTo("signature-of-" + first);
    }

    @Test
    void thatCannotBeResumedAreAborted() {
      call("/once/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      connector.last().failAfterSend();
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.ending()).isEqualTo("aborted");
    }

    @Test
    void thatEndWithinAnEventAreAborted() {
      call("/once/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE + "id: 2\nda");
      connector.last().listener().onCompleted();
      assertThat(caller.ending()).isEqualTo("aborted");
    }

    @Test
    void areSentAtMostAsOftenAsTheirRouteAllows() {
      call("/stream/x");
      connector.last().failAfterSend();
      connector.last().failAfterSend();
      assertThat(connector.sent()).hasSize(2);
      assertThat(caller.status()).isEqualTo(502);
    }
  }

  /**
   * Guards against an error of the next endpoint, after a stream has broken off, that reaches the
   * caller in the middle of its stream or makes it look complete.
   */
  @Nested
  class ErrorAfterAnInterruptedStream {
    @BeforeEach
    void interrupt() {
      call("/stream/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      connector.last().failAfterSend();
      assertThat(connector.sent()).hasSize(2);
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 302, 400, 403, 404, 408, 409, 413, 429, 500, 502, 503, 504})
    void neverReachesTheCaller(int status) {
      connector.last().respond(status, status == 204 ? "" : "error text\n\n");
      assertThat(caller.body()).isEqualTo(EVENT_ONE);
      assertThat(caller.status()).isEqualTo(200);
      assertThat(caller.ending()).isNotEqualTo("finished").isNotEqualTo("whole");
    }

    @ParameterizedTest
    @ValueSource(ints = {421, 429, 503})
    void thatPromisesNoExecutionLeadsToAnotherEndpoint(int status) {
      updateEndpoints(TestEntries.entry("a", 2, "m"), TestEntries.entry("b", 2, "m"));
      connector.last().respondNotExecuted(status);
      advance(150);
      assertThat(caller.body()).isEqualTo(EVENT_ONE);
      assertThat(caller.ending()).isNotEqualTo("finished").isNotEqualTo("whole");
    }
  }

  @Nested
  class SlowCaller {
    /** Guards against events that are lost because two writes overlap. */
    @Test
    void getsNoEventOfTheNextEndpointWhileOneIsBeingWritten() {
      call("/stream/x");
      connector.last().begin(200);
      caller.holdWrites();
      connector.last().content(EVENT_ONE);
      connector.last().failAfterSend();
      if (connector.sent().size() == 2) {
        connector.last().begin(200);
        connector.last().content(EVENT_TWO);
      }
      caller.completeWrite();
      assertThat(connector.sent()).hasSize(2);
      connector.last().begin(200);
      connector.last().content(EVENT_TWO);
      caller.completeWrite();
      connector.last().listener().onCompleted();
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }
  }

  @Nested
  class Artifacts {
    @Test
    void callIsSentAsSoonAsAnEndpointHoldsItsModel() {
      call("/stream/x", "X-Model", "n");
      assertThat(connector.sent()).isEmpty();
      updateEndpoints(TestEntries.entry("a", 2, "m", "n"));
      calls.endpointsChanged();
      assertThat(endpoints()).containsExactly("a");
    }

    @Test
    void endpointThatRefusedAnAdapterIsRetriedOnceItIsResident() {
      updateEndpoints(TestEntries.entry("a", 1, "m", "m/a1"));
      call("/stream/x", "X-Model", "m/a1");
      connector.last().respondNotExecuted(421);
      assertThat(connector.sent()).hasSize(1);
      advance(100);
      assertThat(endpoints()).containsExactly("a", "a");
    }

    @Test
    void callThatWaitsTooLongIsRejectedWithRetryAfter() {
      call("/stream/x", "X-Model", "n");
      advance(700);
      assertThat(caller.status()).isZero();
      advance(200);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(caller.headers().get("Retry-After")).isNotNull();
    }
  }

  @Test
  void streamThatLostItsEndpointWaitsForAnotherThatLoadsItsModel() {
    updateEndpoints(TestEntries.entry("a", 1, "n"), TestEntries.entry("b", 1, "m"));
    call("/stream/x", "X-Model", "n");
    connector.last().begin(200);
    connector.last().content(EVENT_ONE);
    advance(1_000);
    connector.last().content(EVENT_TWO);
    connector.last().failAfterSend();
    advance(50);
    updateEndpoints(TestEntries.entry("b", 2, "m", "n"));
    calls.endpointsChanged();
    assertThat(caller.ending()).isEqualTo("open");
    assertThat(connector.last().request().headers().get("Last-Event-Id")).isEqualTo("2");
  }
}
