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
}
