package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Idempotent calls at an endpoint that answers others, and that may pause as well. */
class SlowEndpointTest extends CallFixture {
  private RecordingCaller slowCaller;
  private ScriptedConnector.Sent slow;

  /**
   * Sends a call to an endpoint that answers another one shortly before the call counts as slow.
   */
  @BeforeEach
  void waitAtAnEndpointThatAnswersOthers() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/safe/x");
    slowCaller = caller;
    slow = connector.last();
    caller = new RecordingCaller();
    call("/unsafe/x");
    updateEndpoints(
        TestEntries.entry("a", 3, "m"),
        TestEntries.entry("b", 3, "m"),
        TestEntries.entry("c", 3, "m"));
    advance(300);
    connector.last().respond(200, "done");
    advance(150);
    assertThat(connector.sent()).hasSize(3);
  }

  private void assertThatTheSlowEndpointStillAnswers() {
    assertThat(slowCaller.ending()).isEqualTo("open");
    assertThat(slow.isCancelled()).isFalse();
    slow.respond(200, "late");
    assertThat(slowCaller.body()).isEqualTo("late");
    assertThat(calls.size()).isZero();
  }

  /** Guards against an early 502 for a call whose sound endpoint pauses while others are full. */
  @Nested
  class AnswersAlthoughTheOthers {
    @ParameterizedTest
    @ValueSource(ints = {421, 429, 503})
    void refuse(int status) {
      connector.last().respondNotExecuted(status);
      advance(350);
      connector.last().respondNotExecuted(status);
      advance(350);
      assertThatTheSlowEndpointStillAnswers();
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 502, 503})
    void fail(int status) {
      connector.last().respond(status, "error");
      advance(350);
      assertThatTheSlowEndpointStillAnswers();
    }

    @Test
    void breakOff() {
      connector.last().failAfterSend();
      advance(350);
      assertThatTheSlowEndpointStillAnswers();
    }

    @Test
    void areNotReached() {
      connector.last().failBeforeSend();
      assertThatTheSlowEndpointStillAnswers();
    }

    @Test
    void areSilentToo() {
      advance(3_000);
      assertThatTheSlowEndpointStillAnswers();
    }
  }

  @Test
  void isLeftAsSoonAsAnotherAnswers() {
    connector.last().begin(200);
    assertThat(slow.isCancelled()).isTrue();
    connector.last().content("done");
    connector.last().listener().onCompleted();
    assertThat(slowCaller.body()).isEqualTo("done");
  }

  @Test
  void isNotJoinedByMoreEndpointsThanTheRouteAllows() {
    advance(1_000);
    advance(1_000);
    assertThat(connector.sent()).hasSize(3);
  }
}
