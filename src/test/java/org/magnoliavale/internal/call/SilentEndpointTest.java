package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Calls at endpoints that fall silent, for a while or for good. */
class SilentEndpointTest extends CallFixture {
  @Nested
  class Silence {
    @Test
    void ofAnEndpointMovesAResumableStreamToAnother() {
      call("/stream/x");
      advance(1_000);
      advance(100);
      assertThat(connector.sent()).hasSize(2);
      connector.last().begin(200);
      assertThat(connector.sent().getFirst().isCancelled()).isTrue();
    }

    @Test
    void ofTheOnlyEndpointThatHoldsTheModelDoesNotCutASoundStream() {
      updateEndpoints(TestEntries.entry("a", 1, "n"), TestEntries.entry("b", 1, "m"));
      call("/stream/x", "X-Model", "n");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      advance(1_000);
      advance(700);
      assertThat(connector.last().isCancelled()).isFalse();
      connector.last().content(EVENT_TWO);
      connector.last().listener().onCompleted();
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void movesAStartedStreamOnceAnotherEndpointHoldsTheModel() {
      updateEndpoints(TestEntries.entry("a", 1, "n"), TestEntries.entry("b", 1, "m"));
      call("/stream/x", "X-Model", "n");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      advance(1_500);
      updateEndpoints(TestEntries.entry("a", 2, "n"), TestEntries.entry("b", 2, "m", "n"));
      advance(50);
      assertThat(endpoints()).containsExactly("a", "b");
    }

    /** Guards against a stream of sound endpoints that pause and is broken off before its end. */
    @Test
    void ofTheLastEndpointThatTheRouteAllowsDoesNotCutASoundStream() {
      updateEndpoints(
          TestEntries.entry("a", 1, "m"),
          TestEntries.entry("b", 1, "m"),
          TestEntries.entry("c", 1, "m"));
      call("/stream/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      advance(1_500);
      assertThat(connector.sent()).hasSize(2);
      advance(1_300);
      assertThat(caller.ending()).isEqualTo("open");
      connector.last().respond(200, EVENT_TWO);
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void doesNotCutASoundStreamIfTheRetryBudgetIsEmpty() {
      call("/stream/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      while (retryBudget.trySpend(TestEntries.SERVICE, now)) {
        // The budget is emptied.
      }
      advance(1_500);
      assertThat(connector.sent()).hasSize(1);
      connector.last().content(EVENT_TWO);
      connector.last().listener().onCompleted();
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void doesNotCutASoundStreamIfNoOtherEndpointHasAFreeConnection() {
      connectionLimit = 1;
      call("/stream/x");
      RecordingCaller first = caller;
      ScriptedConnector.Sent paused = connector.last();
      paused.begin(200);
      paused.content(EVENT_ONE);
      caller = new RecordingCaller();
      call("/unsafe/x");
      advance(1_000);
      connector.last().begin(200);
      advance(500);
      assertThat(paused.isCancelled()).isFalse();
      paused.content(EVENT_TWO);
      paused.listener().onCompleted();
      assertThat(first.ending()).isEqualTo("finished");
    }

    @Test
    void ofTheLastEndpointDoesNotEndAnIdempotentCallBeforeItsDeadline() {
      call("/safe/x");
      advance(450);
      assertThat(connector.sent()).hasSize(2);
      advance(900);
      assertThat(caller.ending()).isEqualTo("open");
      connector.last().respond(200, "done");
      assertThat(caller.body()).isEqualTo("done");
    }

    @Test
    void ofAnEndpointStartsTheWaitForTheNextOneAnew() {
      updateEndpoints(TestEntries.entry("a", 1, "n"), TestEntries.entry("b", 1, "m", "n"));
      pool.recordUnloading("b", Artifact.parse("n"), now);
      call("/stream/x", "X-Model", "n");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      updateEndpoints(TestEntries.entry("a", 2, "n"), TestEntries.entry("b", 2, "m", "n"));
      advance(1_500);
      assertThat(endpoints()).containsExactly("a", "b");
      connector.last().respondNotExecuted(421);
      advance(100);
      assertThat(caller.ending()).isEqualTo("open");
    }

    @Test
    void neverCausesARetryOfANonIdempotentCall() {
      call("/unsafe/x");
      advance(3_000);
      assertThat(connector.sent()).hasSize(1);
      assertThat(connector.last().isCancelled()).isFalse();
    }
  }

  /**
   * Guards against a stream of a sound endpoint that pauses and is broken off, because the endpoint
   * that it was to be moved to does not take it.
   */
  @Nested
  class SilentEndpointBesideAnother {
    private ScriptedConnector.Sent silent;
    private ScriptedConnector.Sent other;

    @BeforeEach
    void moveAfterTheFirstEvent() {
      call("/stream/x");
      silent = connector.last();
      silent.begin(200);
      silent.content(EVENT_ONE);
      advance(1_500);
      other = connector.last();
      assertThat(endpoints()).hasSize(2).doesNotHaveDuplicates();
    }

    private void assertThatTheSilentEndpointGoesOn() {
      assertThat(caller.ending()).isEqualTo("open");
      assertThat(silent.isCancelled()).isFalse();
      silent.content(EVENT_TWO);
      silent.listener().onCompleted();
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
      assertThat(calls.size()).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {421, 429, 503})
    void goesOnIfTheOtherRefuses(int status) {
      other.respondNotExecuted(status);
      assertThatTheSilentEndpointGoesOn();
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 302, 400, 404, 409, 429, 500, 502, 503})
    void goesOnIfTheOtherAnswersWithAnError(int status) {
      other.respond(status, status == 204 ? "" : "error text\n\n");
      assertThatTheSilentEndpointGoesOn();
    }

    @Test
    void goesOnIfTheOtherBreaksOff() {
      other.failAfterSend();
      assertThatTheSilentEndpointGoesOn();
    }

    @Test
    void goesOnIfTheOtherIsNotReached() {
      other.failBeforeSend();
      assertThatTheSilentEndpointGoesOn();
    }

    @Test
    void goesOnIfTheOtherRefusesAndTheBudgetIsEmpty() {
      while (retryBudget.trySpend(TestEntries.SERVICE, now)) {
        // The budget is emptied.
      }
      other.respondNotExecuted(503);
      assertThatTheSilentEndpointGoesOn();
    }

    @Test
    void goesOnWhileTheInstanceStops() {
      other.respondNotExecuted(503);
      calls.rejectCallsAfter(now);
      calls.rejectAll();
      assertThatTheSilentEndpointGoesOn();
    }

    @Test
    void goesOnIfItWakesBeforeTheOtherAnswers() {
      silent.content(EVENT_TWO);
      assertThat(other.isCancelled()).isTrue();
      other.begin(200);
      other.content(EVENT_TWO);
      silent.listener().onCompleted();
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void isLeftAsSoonAsTheOtherAnswers() {
      other.begin(200);
      assertThat(silent.isCancelled()).isTrue();
      silent.content(EVENT_TWO + EVENT_THREE);
      silent.failAfterSend();
      other.content(EVENT_TWO);
      other.listener().onCompleted();
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void isNotMissedIfItBreaksOffBeforeTheOtherAnswers() {
      silent.failAfterSend();
      other.respond(200, EVENT_TWO);
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void goesOnIfTheOtherCannotBeAsked() {
      other.failAfterSend();
      connector.failOn("/stream/x?x=1");
      advance(300);
      assertThatTheSilentEndpointGoesOn();
    }

    @Test
    void isFollowedByTheOtherIfThatHasRoomALittleLater() {
      other.respondNotExecuted(503);
      advance(200);
      assertThat(connector.sent()).hasSize(2);
      advance(200);
      assertThat(endpoints()).hasSize(3);
      assertThat(endpoints().get(2)).isEqualTo(other.endpoint());
    }

    @Test
    void isNotJoinedByAThirdOne() {
      updateEndpoints(
          TestEntries.entry("a", 2, "m"),
          TestEntries.entry("b", 2, "m"),
          TestEntries.entry("c", 2, "m"));
      advance(1_200);
      assertThat(connector.sent()).hasSize(2);
    }

    @Test
    void isCancelledWithTheOtherAtTheDeadline() {
      advance(2_600);
      assertThat(silent.isCancelled()).isTrue();
      assertThat(other.isCancelled()).isTrue();
      assertThat(caller.ending()).isEqualTo("aborted");
      assertThat(calls.size()).isZero();
    }
  }

  /** Guards against a call that waits for two dead endpoints although a third one could take it. */
  @Test
  void twoSilentEndpointsLeadToAThirdIfTheRouteAllowsIt() {
    updateEndpoints(
        TestEntries.entry("a", 2, "m"),
        TestEntries.entry("b", 2, "m"),
        TestEntries.entry("c", 2, "m"));
    call("/long/x");
    connector.last().begin(200);
    connector.last().content(EVENT_ONE);
    advance(1_500);
    advance(1_000);
    advance(50);
    assertThat(endpoints()).hasSize(3).doesNotHaveDuplicates();
    assertThat(connector.sent().getFirst().isCancelled()).isFalse();
    connector.last().respond(200, EVENT_TWO);
    assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
    assertThat(caller.ending()).isEqualTo("finished");
  }

  @Test
  void otherEndpointThatIsBusyDoesNotEndACallWhoseFirstOneIsSilent() {
    call("/stream/x");
    ScriptedConnector.Sent silent = connector.last();
    advance(1_100);
    assertThat(connector.sent()).hasSize(2);
    connector.last().respond(429, "");
    assertThat(caller.ending()).isEqualTo("open");
    silent.respond(200, EVENT_ONE);
    assertThat(caller.body()).isEqualTo(EVENT_ONE);
  }
}
