package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Endpoints that say in their answers that they leave, while their entries do not say so. */
class LeavingEndpointTest extends CallFixture {
  private static final int CALLS = 30;

  private static HttpFields.Mutable headers(String leaving) {
    return HttpFields.build()
        .put("X-Request-Attempt-Id", "id-1")
        .put("X-Response-Signature", "signature")
        .put("Content-Length", "0")
        .put("Server-Leaving", leaving);
  }

  private void answer(int status, HttpFields headers) {
    connector.last().listener().onResponseHead(status, headers);
    connector.last().listener().onCompleted();
  }

  private void assertUnused(String endpoint) {
    for (int i = 0; i < CALLS; i++) {
      caller = new RecordingCaller();
      call("/unsafe/");
      assertThat(connector.last().endpoint()).isNotEqualTo(endpoint);
      connector.last().respond(200, "ok");
    }
  }

  @ParameterizedTest
  @CsvSource({"200, false", "404, false", "500, false", "503, true", "421, true", "429, true"})
  void getNoCallsAfterAnAnswerOfAnyKind(int status, boolean notExecuted) {
    call("/unsafe/");
    String leaving = connector.last().endpoint();
    HttpFields.Mutable headers = headers("1");
    if (notExecuted) {
      headers.put("X-Not-Executed", "1");
    }
    answer(status, headers);
    if (notExecuted) {
      assertThat(connector.last().endpoint()).isNotEqualTo(leaving);
    }
    assertUnused(leaving);
  }

  @Test
  void getNoCallsFromTheHeadOfAStreamOn() {
    call("/stream/");
    String leaving = connector.last().endpoint();
    connector.last().listener().onResponseHead(200, headers("1"));
    assertUnused(leaving);
  }

  @Test
  void getNoCallsThoughTheirEntriesSayThatTheyAreReady() {
    call("/unsafe/");
    String leaving = connector.last().endpoint();
    answer(200, headers("1"));
    updateEndpoints(TestEntries.entry("a", 9, "m"), TestEntries.entry("b", 9, "m"));
    assertUnused(leaving);
  }

  @Test
  void areBackAsANewIncarnation() {
    updateEndpoints(TestEntries.incarnation("a", 1, "m"));
    call("/unsafe/");
    answer(200, headers("1"));
    updateEndpoints(TestEntries.incarnation("a", 2, "m"));
    caller = new RecordingCaller();
    call("/unsafe/");
    assertThat(connector.sent()).hasSize(2);
  }

  @Test
  void callsAreRejectedAtOnceIfAllEndpointsLeave() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/unsafe/");
    answer(200, headers("1"));
    caller = new RecordingCaller();
    call("/unsafe/");
    assertThat(caller.status()).isEqualTo(503);
  }

  @Test
  void attemptUnderWayGoesOn() {
    call("/stream/");
    connector.last().listener().onResponseHead(200, headers("1").remove("Content-Length"));
    connector.last().content(EVENT_ONE);
    advance(1_000);
    assertThat(connector.last().isCancelled()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"0", "", "true", "-1", "11", "1, 1"})
  void otherValuesSayNothing(String value) {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/unsafe/");
    answer(200, headers(value));
    caller = new RecordingCaller();
    call("/unsafe/");
    assertThat(connector.sent()).hasSize(2);
  }
}
