package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against plain answers that only the end of their connection would complete. */
class PlainAnswerLengthTest extends GatewayFixture {
  private static final int TOO_MANY_BYTES = 33_000;
  private static final String HOST = "Host: menus.example\r\nX-Request-Attempt-Id: id-1\r\n";

  /** Requests that the instance answers itself. */
  enum Rejected {
    MALFORMED(400, "GET /safe/x\u0001 %s\r\n" + HOST + "\r\n"),
    LONG_HEADER(431, "GET /safe/x %s\r\n" + HOST + "X-Long: " + "a".repeat(TOO_MANY_BYTES)),
    LONG_PATH(414, "GET /safe/" + "a".repeat(TOO_MANY_BYTES)),
    LARGE_BODY(
        413,
        "POST /safe/x %s\r\n"
            + HOST
            + "Content-Length: "
            + TOO_MANY_BYTES
            + "\r\n\r\n"
            + "a".repeat(TOO_MANY_BYTES)),
    NO_ROUTE(404, "GET /nowhere/ %s\r\n" + HOST + "\r\n"),
    HEAD_WITHOUT_ROUTE(404, "HEAD /nowhere/ %s\r\n" + HOST + "\r\n");

    private final int status;
    private final String request;

    Rejected(int status, String request) {
      this.status = status;
      this.request = request;
    }
  }

  /** How a caller says that its connection ends after the answer. */
  enum CallerVersion {
    CLOSE("HTTP/1.1\r\nConnection: close"),
    OLD("HTTP/1.0");

    private final String text;

    CallerVersion(String text) {
      this.text = text;
    }
  }

  private static String request(String text, CallerVersion version) {
    return text.replace("%s", version.text);
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String readHead(Socket caller) throws IOException {
    return readUntil(caller, "\r\n\r\n");
  }

  private static void assertHasLength(String head) {
    assertThat(head.toLowerCase(Locale.ROOT)).contains("\r\ncontent-length: ");
  }

  @Nested
  class OfTheInstanceItself {
    @ParameterizedTest
    @EnumSource(Rejected.class)
    void isStated(Rejected rejected) throws Exception {
      for (CallerVersion version : CallerVersion.values()) {
        try (Socket caller = connect()) {
          write(caller, request(rejected.request, version));
          String head = readHead(caller);
          assertThat(head).contains(" " + rejected.status + " ");
          assertHasLength(head);
        }
      }
    }
  }

  @Nested
  class OfAnEndpoint {
    private String forward(String method, CallerVersion version, String answer) throws Exception {
      try (Socket caller = connect()) {
        write(caller, method + " /safe/x " + version.text + "\r\n" + HOST + "\r\n");
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        received.send(
            answer.formatted(
                "X-Request-Attempt-Id: id-1\r\nX-Response-Signature: s\r\nConnection: close\r\n"));
        received.close();
        return readHead(caller);
      }
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 OK\r\n%s\r\nbody",
          "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        })
    void isStatedHoweverTheEndpointFramesIt(String answer) throws Exception {
      for (CallerVersion version : CallerVersion.values()) {
        String head = forward("GET", version, answer);
        assertThat(head).contains(" 200 ");
        assertHasLength(head);
      }
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 304})
    void isNotNeededWithoutBody(int status) throws Exception {
      for (CallerVersion version : CallerVersion.values()) {
        String head = forward("GET", version, "HTTP/1.1 " + status + " -\r\n%s\r\n");
        assertThat(head).contains(" " + status + " ");
      }
    }

    @ParameterizedTest
    @EnumSource(CallerVersion.class)
    void isStatedForHead(CallerVersion version) throws Exception {
      String head = forward("HEAD", version, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\n");
      assertThat(head).contains(" 200 ");
      assertHasLength(head);
    }
  }
}
