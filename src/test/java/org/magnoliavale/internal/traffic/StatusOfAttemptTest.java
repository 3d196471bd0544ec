package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.PlainServer;
import org.magnoliavale.internal.http.StatusForms;
import org.magnoliavale.internal.settings.EngineSettings;

/** Gives attempts every status, and texts in its place that are none. */
class StatusOfAttemptTest {
  private static final String BODY = "a body";
  private static final String ID = "attempt-1";
  private static final int MAXIMUM_REASON_LENGTH = 300;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final EndpointClient client =
      EndpointClient.of(new EngineSettings(8, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, 1_024));
  private PlainServer server;
  private Endpoint endpoint;

  @BeforeEach
  void start() throws Exception {
    server = new PlainServer();
    int port = server.address().getPort();
    String document = TestDocuments.base() + TestDocuments.serviceEndpoint("service-1", port);
    endpoint = DocumentReader.read("d.ini", document, 1).endpoints().values().iterator().next();
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    server.close();
  }

  private static String response(Object status, String body) {
    return "HTTP/1.1 "
        + status
        + " Status\r\n"
        + HeaderNames.ATTEMPT_ID
        + ": "
        + ID
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private AttemptResult send(String answer, boolean newConnection) {
    server.answerWith(answer);
    AttemptRequest request =
        new AttemptRequest(
            ID, endpoint, "GET", "/x", HttpFields.EMPTY, new byte[0], TIMEOUT, TIMEOUT, TIMEOUT);
    return newConnection ? client.sendOnNewConnection(request) : client.send(request);
  }

  private static int finish(EndpointResponse response) throws Exception {
    response.readFully(1_024);
    return response.status();
  }

  /** Guards against a status that is none and becomes an answer, or proof that nothing was run. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void failsTheAttemptIfItIsNone(boolean newConnection) {
    List<String> violations = new ArrayList<>();
    for (String status : StatusForms.others()) {
      AttemptResult result = send(response(status, BODY), newConnection);
      if (!(result instanceof AttemptResult.Failed(String reason, boolean ignored))) {
        violations.add(status + " -> " + result);
      } else if (reason.length() > MAXIMUM_REASON_LENGTH) {
        violations.add(status + " -> reason of " + reason.length() + " characters");
      }
    }
    assertThat(violations).isEmpty();
  }

  @Test
  void isReturnedIfItIsFinal() throws Exception {
    List<Integer> returned = new ArrayList<>();
    for (int status : StatusForms.finalOnes()) {
      if (send(response(status, ""), false) instanceof AttemptResult.Responded(var response)) {
        returned.add(finish(response));
      }
    }
    assertThat(returned).isEqualTo(StatusForms.finalOnes());
  }

  @Test
  void isThatOfTheResponseAfterAnInterimOne() throws Exception {
    List<Integer> violations = new ArrayList<>();
    for (int status : StatusForms.interimOnes()) {
      AttemptResult result =
          send("HTTP/1.1 " + status + " Interim\r\n\r\n" + response(200, BODY), false);
      if (!(result instanceof AttemptResult.Responded(var response)) || finish(response) != 200) {
        violations.add(status);
      }
    }
    assertThat(violations).isEmpty();
  }
}
