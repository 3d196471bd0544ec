package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.SelectionCriteria;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Answers the load of more calls than endpoints have room for. */
class QueuedCallTest extends CallFixture {
  /** Calls that endpoints take beside those that they have. */
  private int room;

  private Duration timeToRoom = Duration.ofMillis(300);

  private int choices;

  @BeforeEach
  void limitRoom() {
    chooser = this::choose;
  }

  private EndpointChoice choose(SelectionCriteria criteria, int limit, long nanos) {
    choices++;
    if (room == 0) {
      return new EndpointChoice.Busy(timeToRoom);
    }
    EndpointChoice choice = pool.choose(criteria, limit, nanos);
    if (choice instanceof EndpointChoice.Selected) {
      room--;
    }
    return choice;
  }

  private RecordingCaller begin(String path, String... headers) {
    RecordingCaller began = new RecordingCaller();
    caller = began;
    call(path, headers);
    return began;
  }

  private void answer(ScriptedConnector.Sent attempt) {
    room++;
    attempt.respond(200, EVENT_ONE);
  }

  private List<String> paths() {
    return connector.sent().stream().map(sent -> sent.request().pathQuery()).toList();
  }

  @Nested
  class Turns {
    @Test
    void callIsSentAsSoonAsAnAttemptEnds() {
      room = 1;
      begin("/stream/1");
      RecordingCaller waiting = begin("/stream/2");
      assertThat(connector.sent()).hasSize(1);
      assertThat(calls.waiting()).isEqualTo(1);
      answer(connector.last());
      assertThat(paths()).containsExactly("/stream/1?x=1", "/stream/2?x=1");
      answer(connector.last());
      assertThat(waiting.ending()).isEqualTo("finished");
      assertThat(calls.waiting()).isZero();
    }

    @Test
    void onlyAsManyAreSentAsThereIsRoomFor() {
      room = 1;
      begin("/stream/1");
      begin("/stream/2");
      begin("/stream/3");
      answer(connector.last());
      assertThat(paths()).containsExactly("/stream/1?x=1", "/stream/2?x=1");
      assertThat(calls.waiting()).isEqualTo(1);
    }

    @Test
    void newCallDoesNotGoBeforeThoseThatWait() {
      begin("/stream/1");
      room = 1;
      now += 1;
      begin("/stream/2");
      assertThat(connector.sent()).isEmpty();
      advance(50);
      assertThat(paths()).containsExactly("/stream/1?x=1");
    }

    @Test
    void streamThatHasBegunGoesOnBeforeOthers() {
      room = 1;
      begin("/stream/1");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      begin("/stream/2");
      connector.last().failAfterSend();
      assertThat(connector.sent()).hasSize(1);
      room = 1;
      calls.endpointsChanged();
      assertThat(paths()).containsExactly("/stream/1?x=1", "/stream/1?x=1");
    }

    @Test
    void waitForRoomMayLastAsLongAsTheCallerWaits() {
      RecordingCaller waiting = begin("/stream/1");
      for (int i = 0; i < 30; i++) {
        advance(50);
      }
      assertThat(waiting.status()).isZero();
      room = 1;
      calls.endpointsChanged();
      assertThat(connector.sent()).hasSize(1);
    }

    @Test
    void queueIsTriedAlthoughNoEventTellsOfRoom() {
      begin("/stream/1");
      advance(500);
      room = 1;
      advance(50);
      advance(400);
      assertThat(connector.sent()).hasSize(1);
    }
  }

  @Nested
  class Rejections {
    /** Status 503 promises that the call has not been executed and never will be. */
    private void expectNotExecuted(RecordingCaller rejected) {
      assertThat(rejected.status()).isEqualTo(503);
      double retryAfter = Double.parseDouble(rejected.headers().get("Retry-After"));
      assertThat(retryAfter).isBetween(0.4, 4.0 / 3);
      assertThat(connector.sent()).isEmpty();
    }

    @Test
    void comeAtOnceIfRoomComesTooLate() {
      timeToRoom = Duration.ofSeconds(3);
      RecordingCaller rejected = begin("/stream/1");
      expectNotExecuted(rejected);
      assertThat(calls.size()).isZero();
      assertThat(calls.waiting()).isZero();
    }

    @Test
    void comeAtOnceIfNoEndpointCanAnswerInTime() {
      chooser = (criteria, limit, nanos) -> new EndpointChoice.TooLate(Duration.ofSeconds(5));
      expectNotExecuted(begin("/unsafe/1"));
    }

    @Test
    void comeWhenConditionsChange() {
      RecordingCaller waiting = begin("/stream/1");
      advance(50);
      assertThat(waiting.status()).isZero();
      timeToRoom = Duration.ofSeconds(3);
      advance(400);
      advance(200);
      expectNotExecuted(waiting);
    }

    @Test
    void comeWhenNoEndpointIsLeft() {
      RecordingCaller waiting = begin("/stream/1");
      room = 1;
      updateEndpoints();
      calls.endpointsChanged();
      assertThat(waiting.status()).isEqualTo(503);
      assertThat(calls.waiting()).isZero();
    }

    @Test
    void tellDifferentTimesToCallersWhoAreRejectedAtOnce() {
      timeToRoom = Duration.ofSeconds(3);
      List<String> delays = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        delays.add(
            begin("/stream/1", "X-Request-Attempt-Id", "id-" + i).headers().get("Retry-After"));
      }
      assertThat(delays).doesNotHaveDuplicates();
    }

    /** A call that may have been executed is not rejected as one that was not. */
    @Test
    void neverPromiseThatAnExecutedCallWasNot() {
      room = 1;
      RecordingCaller retried = begin("/safe/1");
      timeToRoom = Duration.ofSeconds(30);
      connector.last().failAfterSend();
      assertThat(retried.status()).isZero();
      advance(4_000);
      assertThat(retried.status()).isEqualTo(504);
    }
  }

  @Nested
  class Ends {
    @Test
    void callerWhoLeavesLeavesNothingBehind() {
      RecordingCaller waiting = new RecordingCaller();
      caller = waiting;
      Runnable disconnect = call("/stream/1");
      assertThat(calls.waiting()).isEqualTo(1);
      disconnect.run();
      assertThat(calls.waiting()).isZero();
      room = 1;
      calls.endpointsChanged();
      assertThat(connector.sent()).isEmpty();
      assertThat(calls.size()).isZero();
    }

    @Test
    void stoppingInstanceRejectsWaitingCalls() {
      RecordingCaller first = begin("/stream/1");
      RecordingCaller second = begin("/unsafe/2");
      calls.rejectAll();
      assertThat(first.status()).isEqualTo(503);
      assertThat(second.status()).isEqualTo(503);
      assertThat(calls.waiting()).isZero();
      assertThat(connector.sent()).isEmpty();
    }
  }

  /** Answers a thousand calls that wait: an event costs as much as one for ten of them. */
  @Nested
  class ManyWaitingCalls {
    private static final int WAITING = 1_000;

    @BeforeEach
    void fill() {
      room = 1;
      begin("/unsafe/first");
      timeToRoom = Duration.ofMillis(1);
      for (int i = 0; i < WAITING; i++) {
        begin("/unsafe/" + i);
      }
      assertThat(calls.waiting()).isEqualTo(WAITING);
      choices = 0;
    }

    @Test
    void endOfAnAttemptAsksForAFewOfThem() {
      answer(connector.last());
      assertThat(connector.sent()).hasSize(2);
      assertThat(choices).isLessThanOrEqualTo(4);
    }

    @Test
    void tickAsksForAFewOfThem() {
      advance(50);
      assertThat(choices).isLessThanOrEqualTo(3);
    }

    @Test
    void eventThatAllInstancesSeeSendsOnlyAPartOfThem() {
      room = WAITING;
      updateEndpoints(TestEntries.entry("a", 2, "m"), TestEntries.entry("b", 2, "m"));
      calls.endpointsChanged();
      assertThat(connector.sent().size()).isBetween(2, WAITING / 3);
    }
  }
}
