package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.call.ForwardingContext;
import org.magnoliavale.internal.call.ResponseHead;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LimitStatement;
import org.magnoliavale.internal.dispatch.PromptSegment;
import org.magnoliavale.internal.dispatch.ReportedLoad;

class WorkerProtocolTest {
  private final WorkerProtocol protocol = new WorkerProtocol();

  private HttpFields outgoing(HttpFields fromCaller) {
    return protocol.requestHeaders(
        fromCaller,
        new ForwardingContext(
            new EndpointIdentity("i-1", 7), Duration.ofMillis(900), 3, Optional.of(4L)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-Hold",
        "X-Pin-Duration",
        "X-Key-Value-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Connection",
        "Transfer-Encoding",
        "Keep-Alive"
      })
  void reservedAndHopByHopHeadersAreDropped(String name) {
    assertThat(outgoing(HttpFields.build().put(name, "x")).contains(name)).isFalse();
  }

  @Test
  void headersListedInConnectionHeaderAreDropped() {
    HttpFields fields = HttpFields.build().put("Connection", "X-Mine").put("X-Mine", "1");
    assertThat(outgoing(fields).contains("X-Mine")).isFalse();
  }

  @Test
  void reservedHeadersReplaceCallerValues() {
    HttpFields fields =
        HttpFields.build()
            .put("X-Expected-Instance", "i-9")
            .put("X-Request-Priority", "0")
            .put("X-Time-Remaining", "99999")
            .put("Last-Event-Id", "1");
    HttpFields outgoing = outgoing(fields);
    assertThat(outgoing.getValuesList("X-Expected-Instance")).containsExactly("i-1");
    assertThat(outgoing.getValuesList("X-Request-Priority")).containsExactly("3");
    assertThat(outgoing.getValuesList("X-Time-Remaining")).containsExactly("900");
    assertThat(outgoing.getValuesList("Last-Event-Id")).containsExactly("4");
  }

  @Test
  void otherHeadersAreForwardedUnchanged() {
    HttpFields fields =
        HttpFields.build()
            .put("Host", "menus.example")
            .put("X-Request-Attempt-Id", "id")
            .put("X-Model", "m/a1")
            .put("X-Prompt-Prefix", "1:2,3:4")
            .put("X-Length-Hint", "5");
    HttpFields outgoing = outgoing(fields);
    fields.forEach(field -> assertThat(outgoing.get(field.getName())).isEqualTo(field.getValue()));
  }

  @Test
  void generationHeadersAreParsed() {
    HttpFields fields =
        HttpFields.build()
            .put("X-Model", "m/a1")
            .put("X-Token-Counts", "1460,80")
            .put("X-Prompt-Prefix", "5c1e:800,91bd:410");
    var generation = protocol.parseRequest(fields).generation().orElseThrow();
    assertThat(generation.artifact().toString()).isEqualTo("m/a1");
    assertThat(generation.promptTokens()).isEqualTo(1_460);
    assertThat(generation.outputTokens()).isEqualTo(80);
    assertThat(generation.segments())
        .containsExactly(new PromptSegment("5c1e", 800), new PromptSegment("91bd", 410));
  }

  @Test
  void malformedNumbersAreTreatedAsAbsent() {
    HttpFields fields = HttpFields.build().put("X-Time-Remaining", "soon").put("Last-Event-Id", "");
    assertThat(protocol.parseRequest(fields).timeRemaining()).isEmpty();
    assertThat(protocol.parseRequest(fields).lastEventId()).isEmpty();
  }

  @Test
  void misdirectedResponseDistinguishesOtherIncarnationFromMissingModel() {
    ResponseHead missing = protocol.parseResponse(421, HttpFields.EMPTY);
    ResponseHead other =
        protocol.parseResponse(421, HttpFields.build().put("X-Instance-Id", "i-2"));
    assertThat(missing.notExecuted()).isTrue();
    assertThat(missing.otherIncarnation()).isFalse();
    assertThat(other.otherIncarnation()).isTrue();
  }

  @Test
  void loadHeaderIsParsed() {
    ResponseHead responseHead =
        protocol.parseResponse(200, HttpFields.build().put("X-Server-Load", "3,0,8"));
    assertThat(responseHead.load()).contains(new ReportedLoad(3, 0, 8));
  }

  @Nested
  class Limit {
    private LimitStatement limit(String value) {
      HttpFields headers = HttpFields.build().put("Server-Limit", value);
      return protocol.parseResponse(200, headers).statement().limit();
    }

    @ParameterizedTest
    @CsvSource({
      "3.1, 3.1",
      "0.25, 0.25",
      "12, 12",
      "0, 0.05",
      "0.0001, 0.05",
      "999999999999999999999999999999, 1000000",
      "2.123456789012345678901, 2.123456789012345678901"
    })
    void isReadWithinItsBounds(String value, double expected) {
      assertThat(limit(value)).isEqualTo(LimitStatement.limited(expected));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"-1", "+2", "", "many", "NaN", "Infinity", "1e3", "0x1p3", "2d", "2, 3"})
    void thatIsNoDecimalNumberChangesNothing(String value) {
      assertThat(limit(value)).isEqualTo(LimitStatement.UNKNOWN);
    }

    @ParameterizedTest
    @CsvSource({"503, X-Not-Executed", "429, X-Not-Executed", "421, X-Other"})
    void isNotLiftedByAnAnswerThatTurnsARequestAway(int status, String header) {
      HttpFields headers = HttpFields.build().put(header, "1");
      assertThat(protocol.parseResponse(status, headers).statement().limit())
          .isEqualTo(LimitStatement.UNKNOWN);
    }

    @Test
    void isLiftedByAnAnswerWithoutIt() {
      assertThat(protocol.parseResponse(200, HttpFields.EMPTY).statement().limit())
          .isEqualTo(LimitStatement.UNLIMITED);
    }
  }

  @Nested
  class Pause {
    private Duration pause(int status, String value) {
      HttpFields headers = HttpFields.build().put("Retry-After", value);
      return protocol.parseResponse(status, headers).statement().pause();
    }

    @ParameterizedTest
    @CsvSource({
      "4, 4000",
      "0.25, 250",
      "0, 0",
      "60, 60000",
      "61, 60000",
      "999999999999999999999999, 60000"
    })
    void isReadWithinItsBounds(String value, long milliseconds) {
      assertThat(pause(503, value)).isEqualTo(Duration.ofMillis(milliseconds));
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "", "soon", "NaN", "1e3", "Sun, 06 Dec 2026 08:00:00 GMT"})
    void thatIsNoDecimalNumberIsIgnored(String value) {
      assertThat(pause(503, value)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 429, 421, 500, 504})
    void isAskedForWithStatus503Only(int status) {
      assertThat(pause(status, "4")).isZero();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"Server-Limit", "Server-Leaving", "X-Server-Load", "X-Not-Executed"})
  void whatWorkersTellInstancesDoesNotReachCallers(String name) {
    HttpFields headers = HttpFields.build().put(name, "1").put("X-Response-Signature", "s");
    HttpFields forwarded = protocol.responseHeaders(headers);
    assertThat(forwarded.contains(name)).isFalse();
    assertThat(forwarded.contains("X-Response-Signature")).isTrue();
  }
}
