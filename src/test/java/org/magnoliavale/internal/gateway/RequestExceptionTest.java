package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.platform.TestProtocol;

/** Guards against a whole request without an answer because a step of it throws. */
class RequestExceptionTest extends GatewayFixture {
  private final ThrowingProtocol protocol = new ThrowingProtocol(TestProtocol.create());

  @Override
  CallProtocol protocol() {
    return protocol;
  }

  private static void post(Socket caller, String path, String body) throws Exception {
    String request =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: id-1\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private void expectUsable() throws Exception {
    protocol.failAt(ThrowingProtocol.Step.NONE);
    assertThat(awaitMetric("requests_in_progress 0.0")).contains("requests_in_progress 0.0");
    assertThat(awaitMetric("calls_in_progress 0.0")).contains("calls_in_progress 0.0");
    try (Socket caller = connect()) {
      post(caller, "/unsafe/x", "body");
      endpoint.nextRequest().respond(200, "done");
      assertThat(readUntil(caller, "done")).contains(" 200 ");
    }
  }

  @ParameterizedTest
  @CsvSource({
    "PARSE_REQUEST, ''",
    "PARSE_REQUEST, body",
    "REQUEST_HEADERS, ''",
    "REQUEST_HEADERS, body"
  })
  void requestIsAnsweredIfItThrowsBeforeItIsSent(ThrowingProtocol.Step step, String body)
      throws Exception {
    protocol.failAt(step);
    try (Socket caller = connect()) {
      post(caller, "/unsafe/x", body);
      assertThat(readUntil(caller, "\r\n\r\n")).contains(" 500 ");
    }
    expectUsable();
  }

  @ParameterizedTest
  @EnumSource(names = {"PARSE_RESPONSE", "RESPONSE_HEADERS"})
  void requestIsAnsweredIfItThrowsWhenItsAnswerArrives(ThrowingProtocol.Step step)
      throws Exception {
    protocol.failAt(step);
    try (Socket caller = connect()) {
      post(caller, "/unsafe/x", "body");
      endpoint.nextRequest().respond(200, "done");
      assertThat(readUntil(caller, "\r\n\r\n")).contains(" 500 ");
    }
    expectUsable();
  }

  @ParameterizedTest
  @CsvSource({"''", "body"})
  void connectionIsClosedIfEvenTheRefusalThrows(String body) throws Exception {
    protocol.failAt(ThrowingProtocol.Step.LOCAL_RESPONSE_HEADERS);
    try (Socket caller = connect()) {
      post(caller, "/nowhere/", body);
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
    expectUsable();
  }

  @Test
  void exceptionsAreCounted() throws Exception {
    protocol.failAt(ThrowingProtocol.Step.REQUEST_HEADERS);
    try (Socket caller = connect()) {
      post(caller, "/unsafe/x", "body");
      readUntil(caller, "\r\n\r\n");
    }
    assertThat(awaitMetric("calls_failed_unexpectedly 1.0"))
        .contains("calls_failed_unexpectedly 1.0");
  }
}
