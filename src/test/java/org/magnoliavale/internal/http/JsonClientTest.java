package org.magnoliavale.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class JsonClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient http = HttpClients.create("test", 4, TIMEOUT, TIMEOUT);
  private final JsonClient client = JsonClient.of(http);

  @BeforeEach
  void start() {
    HttpClients.start(http);
  }

  @AfterEach
  void stop() {
    HttpClients.stop(http);
  }

  @Nested
  class ResponsesWithoutEnd {
    @ParameterizedTest
    @EnumSource
    void connectionIsClosedAtABoundAndTheOutcomeIsUnknown(EndlessResponse form) throws Exception {
      try (EndlessServer server = new EndlessServer(form)) {
        JsonCallResult result = client.get(server.address(), "/x", TIMEOUT);
        assertThat(result)
            .isInstanceOf(
                form.isComplete()
                    ? JsonCallResult.Response.class
                    : JsonCallResult.OutcomeUnknown.class);
        assertThat(server.awaitTaken()).isLessThan(EndlessBytes.MAXIMUM_TAKEN);
        assertThat(client.get(server.address(), "/y", TIMEOUT))
            .isInstanceOfSatisfying(
                JsonCallResult.Response.class,
                response -> assertThat(response.body()).asString().isEqualTo("{\"a\":1}"));
      }
    }
  }
}
