package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.LocalConnector;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams completions from scripted endpoints to a caller. */
class ModelStreamTest extends ForwarderFixture {
  private static final byte[] REQUEST =
      "{\"model\":\"menu\",\"stream\":true}".getBytes(StandardCharsets.UTF_8);
  private static final String EVENT_ZERO = "id: 0\ndata: a\n\n";
  private static final String EVENT_ONE = "id: 1\ndata: b\n\n";
  private static final String DONE = "data: [DONE]\n\n";
  private static final String ERROR_TEXT = "engine-error: no room\n\n";

  private final Server server = new Server();
  private final LocalConnector connector = new LocalConnector(server);

  @BeforeEach
  void start() throws Exception {
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            new ModelRequestHandler(forwarder(), new DemandCounter())
                .complete(
                    context(Duration.ofSeconds(30)),
                    "/v1/completions",
                    REQUEST,
                    response,
                    callback);
            return true;
          }
        });
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.stop();
  }

  private String request() throws Exception {
    return connector.getResponse(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  }

  /**
   * Guards against an error of the next endpoint, after a stream has broken off, whose text reaches
   * the caller in the middle of its stream.
   */
  @Nested
  class ErrorAfterAnInterruptedStream {
    @ParameterizedTest
    @ValueSource(ints = {400, 403, 404, 408, 409, 413, 429, 500, 503})
    void neverReachesTheCaller(int status) throws Exception {
      sender
          .then(ScriptedSender.truncatedResponse(EVENT_ZERO))
          .then(ScriptedSender.response(status, ERROR_TEXT))
          .then(ScriptedSender.response(200, EVENT_ONE + DONE));
      assertThat(request())
          .contains(EVENT_ZERO.strip())
          .contains(EVENT_ONE.strip())
          .contains(DONE.strip())
          .doesNotContain("engine-error");
    }

    @Test
    void endsTheStreamWithAnErrorEventIfAllEndpointsFail() throws Exception {
      sender
          .then(ScriptedSender.truncatedResponse(EVENT_ZERO))
          .then(ScriptedSender.response(400, ERROR_TEXT))
          .then(ScriptedSender.response(400, ERROR_TEXT))
          .then(ScriptedSender.response(400, ERROR_TEXT));
      assertThat(request())
          .contains("event: error")
          .doesNotContain("engine-error")
          .doesNotContain("[DONE]");
    }
  }

  @Nested
  class ErrorBeforeTheFirstEvent {
    @Test
    void isTheResponse() throws Exception {
      sender.then(ScriptedSender.response(400, "{\"error\":\"too long\"}"));
      assertThat(request()).contains(" 400 ").contains("too long");
      assertThat(sender.sent()).hasSize(1);
    }
  }
}
