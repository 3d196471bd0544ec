package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Idempotent calls that an endpoint has answered with an error of its own. */
class EndpointErrorTest extends CallFixture {
  private String failing;

  private void fail(String path) {
    call(path);
    failing = connector.last().endpoint();
    connector.last().respond(500, "error text");
  }

  private void assertThatTheErrorIsSentOn() {
    assertThat(caller.status()).isEqualTo(500);
    assertThat(caller.body()).isEqualTo("error text");
    assertThat(caller.headers().get("X-Response-Signature")).isEqualTo("signature-of-" + failing);
  }

  /** Guards against an error of an endpoint that is replaced by a 502 after a vain retry. */
  @Nested
  class IsSentOnIfNoOther {
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/stream/x"})
    void isThere(String path) {
      updateEndpoints(TestEntries.entry("a", 2, "m"));
      fail(path);
      assertThatTheErrorIsSentOn();
      assertThat(calls.size()).isZero();
    }

    @Test
    void hasAFreeConnection() {
      connectionLimit = 1;
      call("/unsafe/x");
      caller = new RecordingCaller();
      fail("/safe/x");
      assertThatTheErrorIsSentOn();
    }

    @ParameterizedTest
    @ValueSource(ints = {421, 429, 503})
    void takesTheCall(int status) {
      fail("/safe/x");
      while (caller.status() == 0) {
        connector.last().respondNotExecuted(status);
        advance(50);
      }
      assertThatTheErrorIsSentOn();
    }

    @Test
    void isReached() {
      fail("/safe/x");
      connector.last().failBeforeSend();
      assertThatTheErrorIsSentOn();
    }

    @Test
    void answersWhole() {
      fail("/safe/x");
      connector.last().begin(200);
      connector.last().content("ha");
      connector.last().failAfterSend();
      assertThatTheErrorIsSentOn();
    }

    @Test
    void answersInTime() {
      fail("/safe/x");
      advance(4_001);
      assertThatTheErrorIsSentOn();
    }

    @Test
    void answersWithoutAPromiseThatIsNotProven() {
      fail("/safe/x");
      connector.last().respond(503, "later");
      assertThatTheErrorIsSentOn();
    }
  }

  @Nested
  class IsReplaced {
    @BeforeEach
    void failOnce() {
      fail("/safe/x");
    }

    @Test
    void byTheAnswerOfAnother() {
      connector.last().respond(200, "done");
      assertThat(caller.status()).isEqualTo(200);
      assertThat(caller.body()).isEqualTo("done");
    }

    @Test
    void byTheErrorOfAnother() {
      connector.last().respond(502, "other error");
      assertThat(caller.status()).isEqualTo(502);
      assertThat(caller.body()).isEqualTo("other error");
    }
  }

  /** A promise that an endpoint has not proven says nothing that a caller may rely on. */
  @Test
  void unprovenPromiseIsNotSentOn() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/safe/x");
    connector.last().respond(503, "later");
    assertThat(caller.status()).isEqualTo(502);
  }

  /** Nor may an error follow events of a stream. */
  @Test
  void isNotSentOnAfterEvents() {
    call("/long/x");
    connector.last().begin(200);
    connector.last().content(EVENT_ONE);
    connector.last().failAfterSend();
    connector.last().respond(500, "error text");
    updateEndpoints();
    advance(50);
    connector.last().failAfterSend();
    assertThat(caller.body()).isEqualTo(EVENT_ONE);
    assertThat(caller.ending()).isEqualTo("aborted");
  }
}
