package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.RepeatedTest;

/**
 * Guards against an answer that is lost because the connection of another call ends at the same
 * time.
 */
class SimultaneousAnswersTest extends ScriptedAnswerFixture {
  private static final int CALLS = 300;

  /** Returns the number of callers that call at the same time. */
  int callers() {
    return 8;
  }

  /** Sends a call whose stream breaks off and is resumed by a whole answer. */
  private Void callThatIsResumed(int number) throws Exception {
    String id = nextId();
    String events = EVENT + EVENT_TWO + "id: 3\nda";
    String chunk = Integer.toHexString(events.length()) + "\r\n" + events + "\r\n";
    CallerAnswer answer =
        call(
            "/stream/",
            CallerConnection.KEPT,
            id,
            new Answer(head(id, Framing.CHUNKED, 0, true) + chunk, Ending.CLOSED, EVENT_TWO),
            new Answer(
                announcingClose(whole(id, Framing.CHUNKED, EVENT_THREE + EVENT_FOUR)),
                Ending.CLOSED));
    check(answer.complete() && answer.body().equals(ALL_EVENTS), "call " + number, answer);
    return null;
  }

  /** An unannounced close may meet the next request on the connection, which is lost then. */
  private static String announcingClose(String answer) {
    return answer.replaceFirst("\r\n", "\r\nConnection: close\r\n");
  }

  @RepeatedTest(3)
  void areAllReceived() throws Exception {
    List<Future<Void>> calls = new ArrayList<>();
    try (ExecutorService callers = Executors.newFixedThreadPool(callers())) {
      for (int i = 0; i < CALLS; i++) {
        int number = i;
        calls.add(callers.submit(() -> callThatIsResumed(number)));
      }
    }
    for (Future<Void> call : calls) {
      call.get();
    }
    assertThat(violations).isEmpty();
  }
}
