package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.http.StatusForms;

/**
 * Endpoints answer with every status, and with texts in its place that are none. A caller must
 * never read a status that no endpoint can mean, nor a promise that its call was not executed.
 */
class StatusThatIsNoneTest extends ScriptedAnswerFixture {
  private static final int CALLS_AT_ONCE = 8;
  private static final int PARTS = 4;
  private static final int BAD_GATEWAY = 502;

  /** Statuses that tell a caller, or this instance, that a call was not executed. */
  private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);

  private interface StatusCase<T> {
    void run(T status) throws Exception;
  }

  /** Runs a case for each status, a few of them at once. */
  private static <T> void forAll(List<T> statuses, StatusCase<T> tested) throws Exception {
    try (ExecutorService calls = Executors.newFixedThreadPool(CALLS_AT_ONCE)) {
      List<Future<?>> pending = new ArrayList<>();
      for (T status : statuses) {
        pending.add(
            calls.submit(
                () -> {
                  tested.run(status);
                  return null;
                }));
      }
      for (Future<?> result : pending) {
        result.get();
      }
    }
  }

  /** Returns a whole, signed answer with a text in the place of its status. */
  private static String answer(String id, Object status, String body, String... fields) {
    String further = fields.length == 0 ? "" : String.join("\r\n", fields) + "\r\n";
    return whole(id, Framing.LENGTH, body)
        .replace("HTTP/1.1 200 OK\r\n", "HTTP/1.1 " + status + " Status\r\n" + further);
  }

  /** Sends a call whose first endpoint gives an answer, and whose second one gives a sound one. */
  private CallerAnswer call(String prefix, String id, String first, String second)
      throws Exception {
    return call(
        prefix,
        CallerConnection.CLOSE,
        id,
        new Answer(closing(first), Ending.CLOSED),
        new Answer(closing(whole(id, Framing.LENGTH, second)), Ending.CLOSED));
  }

  /** Adds to the final head that the connection ends, so that it is not kept for the next call. */
  private static String closing(String answer) {
    int head = answer.lastIndexOf("HTTP/1.1 ");
    int headers = answer.indexOf("\r\n", head) + 2;
    return answer.substring(0, headers) + "Connection: close\r\n" + answer.substring(headers);
  }

  @Nested
  class NoStatus {
    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/", "/once/"})
    void isABadGatewayIfTheCallMayNotRunTwice(String prefix) throws Exception {
      forAll(
          StatusForms.others(),
          status -> {
            String id = nextId();
            CallerAnswer read = call(prefix, id, answer(id, status, EVENT), EVENT_TWO);
            boolean expected =
                read.status() == BAD_GATEWAY
                    && read.complete()
                    && !read.head().contains("X-Response-Signature");
            check(expected, prefix + " " + status, read);
          });
      assertThat(violations).isEmpty();
    }

    /** In parts, so that each endpoint is used by few calls. */
    @ParameterizedTest
    @CsvSource({
      "/safe/,0", "/safe/,1", "/safe/,2", "/safe/,3",
      "/stream/,0", "/stream/,1", "/stream/,2", "/stream/,3"
    })
    void isRetriedIfTheCallMayRunTwice(String prefix, int part) throws Exception {
      List<String> statuses = StatusForms.others();
      int size = Math.ceilDiv(statuses.size(), PARTS);
      forAll(
          statuses.subList(part * size, Math.min((part + 1) * size, statuses.size())),
          status -> {
            String id = nextId();
            CallerAnswer read = call(prefix, id, answer(id, status, EVENT), EVENT_TWO);
            boolean expected =
                read.status() == 200 && read.complete() && read.body().equals(EVENT_TWO);
            check(expected, prefix + " " + status, read);
          });
      assertThat(violations).isEmpty();
    }

    /** Guards against a promise that a status which is none would turn into proof. */
    @ParameterizedTest
    @ValueSource(strings = {"101", "600", "921", "000"})
    void provesNothingTogetherWithAStatementThatTheCallWasNotExecuted(String status)
        throws Exception {
      String id = nextId();
      String first = answer(id, status, BODY, "X-Not-Executed: 1");
      assertThat(call("/unsafe/", id, first, OTHER_BODY).status()).isEqualTo(BAD_GATEWAY);
    }
  }

  @Nested
  class FinalStatus {
    @Test
    void isPassedOnUnchanged() throws Exception {
      forAll(
          StatusForms.finalOnes().stream().filter(status -> !PROMISES.contains(status)).toList(),
          status -> {
            String id = nextId();
            CallerAnswer read = call("/unsafe/", id, answer(id, status, BODY), OTHER_BODY);
            boolean hasNoBody = status == 204 || status == 304;
            boolean expected = read.status() == status && (hasNoBody || read.body().equals(BODY));
            check(expected, "/unsafe/ " + status, read);
          });
      assertThat(violations).isEmpty();
    }

    /** Guards against the promise of a status that the endpoint didn't make. */
    @ParameterizedTest
    @CsvSource({"408,502", "429,502", "503,502", "421,200"})
    void isNoPromiseWithoutTheEndpointsStatement(int status, int expected) throws Exception {
      String id = nextId();
      CallerAnswer read = call("/unsafe/", id, answer(id, status, BODY), OTHER_BODY);
      assertThat(read.status()).isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 408, 429, 500, 503})
    void isNotPassedOnIfTheEndpointStatesThatTheCallWasNotExecuted(int status) throws Exception {
      String id = nextId();
      String first = answer(id, status, BODY, "X-Not-Executed: 1");
      assertThat(call("/unsafe/", id, first, OTHER_BODY).body()).isEqualTo(OTHER_BODY);
    }

    /** Guards against a second execution: an answer can't be a success and a refusal at once. */
    @ParameterizedTest
    @CsvSource({"/unsafe/,200", "/unsafe/,204", "/once/,200", "/unsafe/,299"})
    void isNoProofThatTheCallWasNotExecutedIfItIsASuccess(String prefix, int status)
        throws Exception {
      String id = nextId();
      String first = answer(id, status, status == 204 ? "" : EVENT, "X-Not-Executed: 1");
      CallerAnswer read = call(prefix, id, first, EVENT_TWO);
      assertThat(read.status()).isEqualTo(BAD_GATEWAY);
    }

    /** Bytes after an answer without body belong to no call. */
    @ParameterizedTest
    @CsvSource({"204,LENGTH", "204,CHUNKED", "304,LENGTH", "304,CHUNKED"})
    void hasNoBodyWhateverFollows(int status, Framing framing) throws Exception {
      for (String prefix : List.of("/unsafe/", "/safe/", "/stream/")) {
        String id = nextId();
        String first =
            whole(id, framing, BODY).replace("HTTP/1.1 200 OK", "HTTP/1.1 " + status + " Status");
        CallerAnswer read = call(prefix, id, first, OTHER_BODY);
        assertThat(read.status()).isEqualTo(status);
        assertThat(read.head()).doesNotContain(BODY);
        assertThat(read.body()).isEmpty();
        String next = nextId();
        assertThat(call("/unsafe/", next, whole(next, Framing.LENGTH, OTHER_BODY), BODY).body())
            .isEqualTo(OTHER_BODY);
      }
    }

    /** The same for an answer that ends with its connection; see KNOWN-RED.txt. */
    @Test
    @Tag("known-red")
    void hasNoBodyIfItsConnectionEnds() throws Exception {
      hasNoBodyWhateverFollows(204, Framing.CONNECTION);
    }
  }

  @Nested
  class InterimStatus {
    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/", "/safe/", "/stream/", "/once/"})
    void isFollowedByTheAnswer(String prefix) throws Exception {
      forAll(
          StatusForms.interimOnes(),
          status -> {
            String id = nextId();
            String interim =
                "HTTP/1.1 " + status + " Interim\r\nX-Request-Attempt-Id: " + id + "\r\n\r\n";
            String first = interim.repeat(2) + whole(id, Framing.LENGTH, EVENT);
            CallerAnswer read = call(prefix, id, first, EVENT_TWO);
            boolean expected = read.status() == 200 && read.complete() && read.body().equals(EVENT);
            check(expected, prefix + " " + status, read);
          });
      assertThat(violations).isEmpty();
    }

    /** Guards against a statement of an interim response that is taken for the answer's. */
    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103})
    void provesNothing(int status) throws Exception {
      for (String end : List.of("", "999", "000")) {
        String id = nextId();
        String interim = "HTTP/1.1 " + status + " Interim\r\nX-Not-Executed: 1\r\n";
        String first =
            interim
                + "X-Request-Attempt-Id: "
                + id
                + "\r\n\r\n"
                + (end.isEmpty() ? "" : answer(id, end, BODY));
        assertThat(call("/unsafe/", id, first, OTHER_BODY).status()).isEqualTo(BAD_GATEWAY);
      }
    }
  }
}
