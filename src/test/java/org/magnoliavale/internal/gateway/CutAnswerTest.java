package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Cuts the answers of endpoints on plain routes at every byte of their heads and bodies. A caller
 * must never read a success that is not the whole answer.
 */
class CutAnswerTest extends ScriptedAnswerFixture {
  @ParameterizedTest
  @CsvSource({
    "LENGTH,CLOSED", "LENGTH,RESET", "CHUNKED,CLOSED",
    "CHUNKED,RESET", "CONNECTION,CLOSED", "CONNECTION,RESET"
  })
  void givesNoSuccessThatIsNotWhole(Framing framing, Ending ending) throws Exception {
    int length = whole("id-0000", framing, BODY).length();
    forEach(
        length,
        cut -> {
          String id = nextId();
          String text = whole(id, framing, BODY);
          int headLength = head(id, framing, BODY.length(), true).length();
          CallerAnswer answer =
              call(
                  "/unsafe/",
                  CallerConnection.KEPT,
                  id,
                  new Answer(text.substring(0, cut), ending),
                  new Answer(whole(id, framing, OTHER_BODY), Ending.CLOSED));
          String place = framing + " " + ending + " at " + cut + " of " + length;
          String expected = BODY;
          boolean mayBeWhole = cut == length || framing == Framing.CHUNKED && cut >= length - 2;
          boolean mustBeWhole = cut == length && ending == Ending.CLOSED;
          if (framing == Framing.CONNECTION) {
            mayBeWhole = ending == Ending.CLOSED && cut > headLength;
            expected = text.substring(Math.min(cut, headLength), cut);
          }
          boolean success =
              answer.status() == 200
                  && answer.complete()
                  && answer.head().contains("X-Response-Signature: 3e1b.07\r\n")
                  && answer.body().equals(expected);
          check(success && mayBeWhole || !mustBeWhole && isPlainFailure(answer), place, answer);
        });
    assertThat(violations).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void ofSafeRequestsIsAnsweredByAnotherEndpoint(Framing framing) throws Exception {
    int headLength = head("id-0000", framing, BODY.length(), true).length();
    forEach(
        headLength - 1,
        cut -> {
          String id = nextId();
          CallerAnswer answer =
              call(
                  "/safe/",
                  CallerConnection.KEPT,
                  id,
                  new Answer(whole(id, framing, BODY).substring(0, cut), Ending.CLOSED),
                  new Answer(whole(id, framing, OTHER_BODY), Ending.CLOSED));
          check(
              answer.status() == 200 && answer.complete() && answer.body().equals(OTHER_BODY),
              framing + " at " + cut,
              answer);
        });
    assertThat(violations).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"200,LENGTH,200", "200,CHUNKED,200", "200,CONNECTION,502", "204,CONNECTION,204"})
  void givesAnEmptySuccessOnlyIfItsHeadSaysSo(int status, Framing framing, int expected)
      throws Exception {
    String id = nextId();
    String text = whole(id, framing, "").replace(" 200 ", " " + status + " ");
    CallerAnswer answer =
        call("/unsafe/", CallerConnection.CLOSE, id, new Answer(text, Ending.CLOSED));
    assertThat(answer.status()).isEqualTo(expected);
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void givesNoSuccessWithoutSignature(Framing framing) throws Exception {
    String id = nextId();
    String text = head(id, framing, BODY.length(), false) + framing.body(BODY);
    CallerAnswer answer =
        call("/unsafe/", CallerConnection.KEPT, id, new Answer(text, Ending.CLOSED));
    assertThat(answer.status()).isEqualTo(502);
  }
}
