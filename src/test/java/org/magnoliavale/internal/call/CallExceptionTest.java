package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Guards against an exception in one call that leaves it, or other calls, without an answer. */
class CallExceptionTest extends CallFixture {
  private static final int LATER_THAN_ALL_DEADLINES_MS = 11_000;

  @Override
  boolean throwsOnPurpose() {
    return true;
  }

  /** Starts a call that throws whenever it is sent, and waits meanwhile for a model. */
  private RecordingCaller waitThatThrowsWhenSent() {
    RecordingCaller throwing = new RecordingCaller();
    caller = throwing;
    call("/safe/throws", "X-Model", "absent");
    connector.failOn("/safe/throws?x=1");
    caller = new RecordingCaller();
    return throwing;
  }

  @Test
  void callThatThrowsAtItsStartIsAnswered() {
    connector.failOn("/unsafe/throws?x=1");
    assertThatCode(() -> call("/unsafe/throws")).doesNotThrowAnyException();
    assertThat(caller.status()).isEqualTo(500);
    assertThat(calls.size()).isZero();
  }

  @Nested
  class OtherCalls {
    private void expectAnswers(Consumer<CallRegistry> event) {
      RecordingCaller throwing = waitThatThrowsWhenSent();
      call("/unsafe/x");
      RecordingCaller sent = caller;
      updateEndpoints(TestEntries.entry("a", 2, "m", "absent"));
      assertThatCode(() -> event.accept(calls)).doesNotThrowAnyException();
      assertThat(throwing.status()).isEqualTo(500);
      assertThat(sent.status()).isZero();
      advance(LATER_THAN_ALL_DEADLINES_MS);
      assertThat(sent.status()).isEqualTo(504);
      assertThat(calls.size()).isZero();
    }

    @Test
    void reachTheirDeadlinesAfterOneThrowsInATick() {
      expectAnswers(CallRegistry::tick);
    }

    @Test
    void reachTheirDeadlinesAfterOneThrowsWhenEndpointsChange() {
      expectAnswers(CallRegistry::endpointsChanged);
    }
  }

  /** A call throws in one of its phases; another one is silent until its time limit. */
  @Nested
  class PhaseThatThrows {
    private final RecordingCaller throwing = new RecordingCaller();
    private final RecordingCaller silent = new RecordingCaller();

    private ScriptedConnector.Sent beginBesideSilent(String path) {
      caller = silent;
      call("/unsafe/silent");
      caller = throwing;
      call(path);
      return connector.last();
    }

    private void throwAtNextClockReading() {
      onNextClockReading =
          () -> {
            throw new IllegalStateException("expected by the test");
          };
    }

    private void expectOneEnd(String ending) {
      assertThat(throwing.ending()).isEqualTo(ending);
      assertThat(calls.size()).isEqualTo(1);
      assertThat(silent.ending()).isEqualTo("open");
      advance(LATER_THAN_ALL_DEADLINES_MS);
      assertThat(silent.status()).isEqualTo(504);
      assertThat(calls.size()).isZero();
    }

    @Test
    void responseHead() {
      ScriptedConnector.Sent sent = beginBesideSilent("/unsafe/x");
      throwAtNextClockReading();
      assertThatCode(() -> sent.begin(200)).doesNotThrowAnyException();
      assertThat(throwing.status()).isEqualTo(500);
      assertThat(sent.isCancelled()).isTrue();
      expectOneEnd("whole");
    }

    @Test
    void responseContent() {
      ScriptedConnector.Sent sent = beginBesideSilent("/unsafe/x");
      sent.begin(200);
      throwAtNextClockReading();
      assertThatCode(() -> sent.content("part")).doesNotThrowAnyException();
      assertThat(throwing.status()).isEqualTo(500);
      expectOneEnd("whole");
    }

    @Test
    void endOfTheResponse() {
      ScriptedConnector.Sent sent = beginBesideSilent("/unsafe/x");
      sent.begin(200);
      sent.content("all");
      throwAtNextClockReading();
      assertThatCode(() -> sent.listener().onCompleted()).doesNotThrowAnyException();
      assertThat(throwing.status()).isEqualTo(500);
      expectOneEnd("whole");
    }

    @Test
    void failureOfTheAttempt() {
      ScriptedConnector.Sent sent = beginBesideSilent("/safe/x");
      throwAtNextClockReading();
      assertThatCode(sent::failAfterSend).doesNotThrowAnyException();
      assertThat(throwing.status()).isEqualTo(500);
      expectOneEnd("whole");
    }

    @Test
    void retryAfterAFailedAttempt() {
      ScriptedConnector.Sent sent = beginBesideSilent("/safe/x");
      connector.failOn("/safe/x?x=1");
      assertThatCode(sent::failAfterSend).doesNotThrowAnyException();
      assertThat(throwing.status()).isEqualTo(500);
      expectOneEnd("whole");
    }

    @Test
    void firstEventOfAStream() {
      ScriptedConnector.Sent sent = beginBesideSilent("/once/x");
      sent.beginChunked();
      throwing.failFromNowOn();
      assertThatCode(() -> sent.content(EVENT_ONE)).doesNotThrowAnyException();
      expectOneEnd("aborted");
    }

    @Test
    void laterEventOfAStream() {
      ScriptedConnector.Sent sent = beginBesideSilent("/once/x");
      sent.beginChunked();
      sent.content(EVENT_ONE);
      throwing.failFromNowOn();
      assertThatCode(() -> sent.content(EVENT_TWO)).doesNotThrowAnyException();
      expectOneEnd("aborted");
    }

    @Test
    void endOfAWrite() {
      ScriptedConnector.Sent sent = beginBesideSilent("/once/x");
      throwing.holdWrites();
      sent.beginChunked();
      sent.content(EVENT_ONE);
      throwAtNextClockReading();
      assertThatCode(throwing::completeWrite).doesNotThrowAnyException();
      expectOneEnd("aborted");
    }

    @Test
    void cancelOfItsAttempt() {
      beginBesideSilent("/unsafe/x");
      connector.failCancels();
      assertThatCode(() -> advance(LATER_THAN_ALL_DEADLINES_MS)).doesNotThrowAnyException();
      assertThat(throwing.status()).isEqualTo(504);
      assertThat(silent.status()).isEqualTo(504);
      assertThat(calls.size()).isZero();
    }
  }

  /** Of two attempts, one throws; the other one goes on and answers the call. */
  @Nested
  class OneOfTwoAttempts {
    @Test
    void endsAndLeavesTheCallToTheOther() {
      RecordingCaller streaming = new RecordingCaller();
      caller = streaming;
      call("/stream/x");
      ScriptedConnector.Sent first = connector.last();
      for (int i = 0; i < 40 && connector.sent().size() < 2; i++) {
        advance(50);
      }
      ScriptedConnector.Sent second = connector.last();
      assertThat(second).isNotSameAs(first);
      onNextClockReading =
          () -> {
            throw new IllegalStateException("expected by the test");
          };
      first.beginChunked();
      assertThat(first.isCancelled()).isTrue();
      assertThat(streaming.ending()).isEqualTo("open");
      second.beginChunked();
      second.content(EVENT_ONE);
      second.listener().onCompleted();
      assertThat(streaming.ending()).isEqualTo("finished");
      assertThat(streaming.body()).isEqualTo(EVENT_ONE);
    }
  }
}
