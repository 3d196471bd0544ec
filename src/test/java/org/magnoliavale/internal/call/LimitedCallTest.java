package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

class LimitedCallTest extends CallFixture {
  private HttpFields.Mutable headers(String limit) {
    return HttpFields.build()
        .put("X-Request-Attempt-Id", "id-1")
        .put("X-Response-Signature", "signature")
        .put("Content-Length", "0")
        .put("Server-Limit", limit);
  }

  private void answer(int status, HttpFields headers) {
    connector.last().listener().onResponseHead(status, headers);
    connector.last().listener().onCompleted();
  }

  private void callAgain(String path) {
    caller = new RecordingCaller();
    call(path);
  }

  @Nested
  class LimitOfTheOnlyEndpoint {
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500})
    void countsInAnswersOfAnyStatus(int status) {
      updateEndpoints(TestEntries.entry("a", 2, "m"));
      call("/unsafe/");
      answer(status, headers("1.5"));
      callAgain("/unsafe/");
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.status()).isEqualTo(503);
    }

    @Test
    void countsInAnswersThatRefuseACall() {
      updateEndpoints(TestEntries.entry("a", 2, "m"));
      call("/unsafe/");
      answer(503, headers("0.1").put("X-Not-Executed", "1"));
      advance(50);
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.status()).isEqualTo(503);
    }

    @Test
    void countsFromTheHeadOfAStream() {
      updateEndpoints(TestEntries.entry("a", 2, "m"));
      call("/stream/");
      connector.last().listener().onResponseHead(200, headers("1.5"));
      callAgain("/stream/");
      assertThat(connector.sent()).hasSize(1);
    }

    @Test
    void rejectsCallsAtOnceWithTheTimeToTheNextRequest() {
      updateEndpoints(TestEntries.entry("a", 2, "m"));
      call("/unsafe/");
      answer(200, headers("1"));
      callAgain("/unsafe/");
      assertThat(caller.ending()).isEqualTo("whole");
      assertThat(Double.parseDouble(caller.headers().get("Retry-After"))).isBetween(1.0, 1.5);
      advance(1_000);
      callAgain("/unsafe/");
      assertThat(connector.sent()).hasSize(2);
    }
  }

  @Test
  void otherEndpointTakesWhatIsOverALimit() {
    call("/unsafe/");
    String limited = connector.last().endpoint();
    answer(200, headers("0.5"));
    for (int i = 0; i < 10; i++) {
      callAgain("/unsafe/");
      assertThat(connector.last().endpoint()).isNotEqualTo(limited);
      answer(200, headers("100").remove("Server-Limit"));
    }
  }

  @Test
  void retriesCountAsRequests() {
    call("/safe/");
    String limited = connector.last().endpoint();
    answer(200, headers("0.5"));
    callAgain("/safe/");
    connector.last().failAfterSend();
    assertThat(endpoints().stream().filter(limited::equals)).hasSize(1);
    assertThat(caller.status()).isEqualTo(502);
  }

  @Test
  void limitOfAnotherIncarnationAtTheAddressDoesNotCount() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/unsafe/");
    answer(421, headers("0.5").put("X-Instance-Id", "other"));
    assertThat(limits.statements(now)).isEmpty();
  }

  @Test
  void limitInTheAnswerToAnotherAttemptDoesNotCount() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/unsafe/");
    answer(200, headers("0.5").put("X-Request-Attempt-Id", "id-0"));
    assertThat(limits.statements(now)).isEmpty();
  }
}
