package org.magnoliavale.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Gives calls of the control plane every status, and texts in its place that are none. */
class StatusOfJsonCallTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String BODY = "{\"a\":1}";

  private final HttpClient http = HttpClients.create("test", 4, TIMEOUT, TIMEOUT);
  private final JsonClient client = JsonClient.of(http);
  private PlainServer server;

  @BeforeEach
  void start() throws Exception {
    HttpClients.start(http);
    server = new PlainServer();
  }

  @AfterEach
  void stop() throws Exception {
    HttpClients.stop(http);
    server.close();
  }

  private static String response(Object status, String body) {
    return "HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private JsonCallResult call(String answer) {
    server.answerWith(answer);
    return client.get(server.address(), "/x", TIMEOUT);
  }

  /** Guards against a 600 of the store, which meant that a transaction had no effect. */
  @Test
  void leavesTheOutcomeUnknownIfItIsNone() {
    List<String> violations = new ArrayList<>();
    for (String status : StatusForms.others()) {
      if (!(call(response(status, BODY)) instanceof JsonCallResult.OutcomeUnknown)) {
        violations.add(status);
      }
    }
    assertThat(violations).isEmpty();
  }

  @Test
  void isReturnedIfItIsFinal() {
    List<Integer> returned = new ArrayList<>();
    for (int status : StatusForms.finalOnes()) {
      if (call(response(status, "")) instanceof JsonCallResult.Response response) {
        returned.add(response.status());
      }
    }
    assertThat(returned).isEqualTo(StatusForms.finalOnes());
  }

  @Test
  void isThatOfTheResponseAfterAnInterimOne() {
    List<Integer> violations = new ArrayList<>();
    for (int status : StatusForms.interimOnes()) {
      JsonCallResult result =
          call("HTTP/1.1 " + status + " Interim\r\nX-Hint: 1\r\n\r\n" + response(200, BODY));
      if (!(result instanceof JsonCallResult.Response response && response.status() == 200)) {
        violations.add(status);
      }
    }
    assertThat(violations).isEmpty();
  }

  /** Guards against an interim response that hides what follows it. */
  @Test
  void leavesTheOutcomeUnknownIfItIsNoneAfterAnInterimOne() throws Exception {
    assertThat(call("HTTP/1.1 103 Early Hints\r\n\r\n" + response("999", BODY)))
        .isInstanceOf(JsonCallResult.OutcomeUnknown.class);
    server.awaitCloseByClient();
  }
}
