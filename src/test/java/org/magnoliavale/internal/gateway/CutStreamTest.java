package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Cuts the streams of endpoints at every byte of their heads and events. A caller must never read a
 * stream that is complete by its framing and lacks an event, or has one twice.
 */
class CutStreamTest extends ScriptedAnswerFixture {
  /** The first answer of a stream. */
  @Nested
  class FirstAnswerOfAStream {
    @ParameterizedTest
    @CsvSource({
      "/once/,LENGTH,CLOSED", "/once/,LENGTH,RESET", "/once/,CHUNKED,CLOSED",
      "/once/,CHUNKED,RESET", "/once/,CONNECTION,CLOSED", "/once/,CONNECTION,RESET",
      "/stream/,LENGTH,CLOSED", "/stream/,CHUNKED,RESET", "/stream/,CONNECTION,CLOSED"
    })
    void neverLooksCompleteIfItIsCut(String prefix, Framing framing, Ending ending)
        throws Exception {
      int length = whole("id-0000", framing, ALL_EVENTS).length();
      forEach(
          length,
          cut -> {
            String id = nextId();
            String text = whole(id, framing, ALL_EVENTS);
            int headLength = head(id, framing, ALL_EVENTS.length(), true).length();
            CallerAnswer answer =
                call(prefix, CallerConnection.KEPT, id, new Answer(text.substring(0, cut), ending));
            String place = prefix + " " + framing + " " + ending + " at " + cut + " of " + length;
            boolean framedEnd = cut == length || framing == Framing.CHUNKED && cut >= length - 2;
            boolean connectionEnd =
                framing == Framing.CONNECTION
                    && ending == Ending.CLOSED
                    && cut > headLength
                    && text.substring(0, cut).endsWith("\n\n");
            boolean mayBeComplete = framing == Framing.CONNECTION ? connectionEnd : framedEnd;
            check(isFaithful(answer, mayBeComplete), place, answer);
            if (cut == length && ending == Ending.CLOSED) {
              check(answer.complete() && answer.body().equals(ALL_EVENTS), place, answer);
            }
          });
      assertThat(violations).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"LENGTH,true", "CHUNKED,true", "CONNECTION,false"})
    void mayBeEmptyIfItSaysSoItself(Framing framing, boolean success) throws Exception {
      String id = nextId();
      CallerAnswer answer =
          call(
              "/once/",
              CallerConnection.KEPT,
              id,
              new Answer(whole(id, framing, ""), Ending.CLOSED));
      assertThat(answer.status() == 200).isEqualTo(success);
      assertThat(answer.complete()).isTrue();
    }
  }

  /** The answer of the next endpoint after the first one has broken off. */
  @Nested
  class ResumedAnswer {
    private Answer brokenOff(String id) {
      String events = EVENT + EVENT_TWO + "id: 3\nda";
      String chunk = Integer.toHexString(events.length()) + "\r\n" + events + "\r\n";
      return new Answer(head(id, Framing.CHUNKED, 0, true) + chunk, Ending.CLOSED, EVENT_TWO);
    }

    @ParameterizedTest
    @CsvSource({
      "LENGTH,CLOSED,KEPT",
      "LENGTH,RESET,KEPT",
      "CHUNKED,CLOSED,KEPT",
      "CHUNKED,RESET,KEPT",
      "CONNECTION,CLOSED,KEPT",
      "CONNECTION,RESET,KEPT",
      "CHUNKED,CLOSED,CLOSE"
    })
    void neverLooksCompleteIfItIsCut(Framing framing, Ending ending, CallerConnection connection)
        throws Exception {
      String events = EVENT_THREE + EVENT_FOUR;
      int length = whole("id-0000", framing, events).length();
      forEach(
          length,
          cut -> {
            String id = nextId();
            String text = whole(id, framing, events);
            int headLength = head(id, framing, events.length(), true).length();
            CallerAnswer answer =
                call(
                    "/stream/",
                    connection,
                    id,
                    brokenOff(id),
                    new Answer(text.substring(0, cut), ending));
            String place = framing + " " + ending + " at " + cut + " of " + length;
            boolean framedEnd = cut == length || framing == Framing.CHUNKED && cut >= length - 2;
            boolean connectionEnd =
                framing == Framing.CONNECTION
                    && ending == Ending.CLOSED
                    && cut > headLength
                    && text.substring(0, cut).endsWith("\n\n");
            boolean mayBeComplete = framing == Framing.CONNECTION ? connectionEnd : framedEnd;
            check(
                answer.status() == 200
                    && answer.body().startsWith(EVENT + EVENT_TWO)
                    && isFaithful(answer, mayBeComplete),
                place,
                answer);
            if (cut == length && ending == Ending.CLOSED) {
              check(answer.complete() && answer.body().equals(ALL_EVENTS), place, answer);
            }
          });
      assertThat(violations).isEmpty();
    }

    @Test
    void thatIsEmptyAndEndsWithItsConnectionIsNoEnd() throws Exception {
      String id = nextId();
      CallerAnswer answer =
          call(
              "/stream/",
              CallerConnection.KEPT,
              id,
              brokenOff(id),
              new Answer(whole(id, Framing.CONNECTION, ""), Ending.CLOSED));
      assertThat(answer.body()).isEqualTo(EVENT + EVENT_TWO);
      assertThat(answer.complete()).isFalse();
    }

    /** Guards against events that a caller gets twice from an endpoint that began again. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          ALL_EVENTS,
          EVENT_TWO + EVENT_THREE + EVENT_FOUR,
          EVENT_TWO,
          EVENT_THREE + EVENT_TWO + EVENT_FOUR
        })
    void thatDoesNotGoOnAfterTheLastEventIsNotJoined(String events) throws Exception {
      for (Framing framing : Framing.values()) {
        String id = nextId();
        CallerAnswer answer =
            call(
                "/stream/",
                CallerConnection.KEPT,
                id,
                brokenOff(id),
                new Answer(whole(id, framing, events), Ending.CLOSED));
        check(isFaithful(answer, false), framing.toString(), answer);
      }
      assertThat(violations).isEmpty();
    }
  }

  /** Guards against a stream that broke off and is read as a whole one by the caller's framing. */
  @Nested
  class BrokenStream {
    @ParameterizedTest
    @CsvSource({
      "/once/,KEPT",
      "/once/,CLOSE",
      "/once/,OLD",
      "/stream/,KEPT",
      "/stream/,CLOSE",
      "/stream/,OLD"
    })
    void neverLooksComplete(String prefix, CallerConnection connection) throws Exception {
      for (Ending ending : Ending.values()) {
        String id = nextId();
        String text = whole(id, Framing.CHUNKED, ALL_EVENTS);
        String broken = text.substring(0, text.length() - "0\r\n\r\n".length());
        CallerAnswer answer = call(prefix, connection, id, new Answer(broken, ending, EVENT_FOUR));
        check(
            answer.status() == 200 && !answer.complete() && answer.body().equals(ALL_EVENTS),
            ending.toString(),
            answer);
      }
      assertThat(violations).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(CallerConnection.class)
    void isCompleteIfItDidNotBreakOff(CallerConnection connection) throws Exception {
      String id = nextId();
      CallerAnswer answer =
          call(
              "/once/",
              connection,
              id,
              new Answer(whole(id, Framing.CHUNKED, ALL_EVENTS), Ending.CLOSED));
      assertThat(answer.body()).isEqualTo(ALL_EVENTS);
      assertThat(answer.complete()).isTrue();
    }
  }
}
