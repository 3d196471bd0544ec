package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.http.EchoEndpoint;
import org.magnoliavale.internal.route.CallKind;

/** Sends requests with all kinds of targets, which an endpoint must get as they were sent. */
class RequestTargetTest extends GatewayFixture {
  private static final int BODY_LIMIT_BYTES = 10_000;
  private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(10);
  private static final String REFUSED = "HTTP/1.1 400 ";
  private static final int RANDOM_TARGETS = 400;
  private static final List<String> METHODS = List.of("GET", "POST", "PUT", "DELETE", "PATCH");

  private static final List<String> SEGMENTS =
      List.of(
          "",
          "",
          "a",
          ".",
          "..",
          "...",
          "%2F",
          "%2f",
          "%2e",
          "%2E%2e",
          "%41",
          "%20",
          "%00",
          "%25",
          "a;b=c",
          ";",
          "a|b",
          "a:b",
          "a@b",
          "host:80",
          "127.0.0.1",
          "~",
          "$&'()*+,=!",
          "-._~",
          "http:",
          "\\",
          "{a}",
          "^",
          "`",
          "\"",
          "<a>",
          "[1]");

  private static final List<String> QUERIES =
      List.of(
          "",
          "",
          "?",
          "??",
          "?a",
          "?a=",
          "?=",
          "?a=b",
          "?a=b&a=c",
          "?&",
          "?a=b&&c",
          "?/",
          "?//a/b",
          "?a=%20+%2B",
          "?a?b=c",
          "?a|b",
          "?a=;b",
          "?a={b}",
          "?http://h/x",
          "?a=\"",
          "?.",
          "?../a",
          "?%",
          "?%zz",
          "?[1]");

  private EchoEndpoint echo;

  @Override
  InetSocketAddress endpointAddress() {
    return echo.address();
  }

  @Override
  @BeforeEach
  void start() throws Exception {
    echo = new EchoEndpoint();
    super.start();
    configure(
        configuration(
            2,
            BODY_LIMIT_BYTES,
            List.of(route("/", CallKind.NON_IDEMPOTENT, false, ROUTE_TIMEOUT))));
  }

  @AfterEach
  void closeEndpoint() throws IOException {
    echo.close();
  }

  /** Returns how the endpoint got the target, or the status line of an answer without it. */
  private String forwarded(String method, String target) throws IOException {
    echo.reset(ignored -> {});
    String body = method.equals("GET") ? "" : "of " + target;
    String request =
        method
            + " "
            + target
            + " HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: id-1\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    String status;
    try (Socket caller = connect()) {
      caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      status = readUntil(caller, "\r\n").strip();
    }
    List<EchoEndpoint.Received> received = echo.received();
    if (received.isEmpty()) {
      return status;
    }
    EchoEndpoint.Received only = received.get(0);
    boolean same =
        received.size() == 1
            && only.method().equals(method)
            && new String(only.body(), StandardCharsets.ISO_8859_1).equals(body)
            && status.contains(" 200 ");
    return same ? only.target() : received.size() + " requests, " + only + ", " + status;
  }

  /** Returns whether a path leaves the root or holds a NUL. */
  private static boolean mayBeRefused(String target) {
    String path = target.replaceAll("[?].*", "").replaceAll("(?i)%2e", ".");
    int depth = 0;
    for (String segment : path.substring(1).split("/", -1)) {
      if (!segment.equals(".")) {
        depth += segment.equals("..") ? -1 : 1;
      }
      if (depth < 0) {
        return true;
      }
    }
    return path.contains("%00");
  }

  /**
   * Guards against a target that runs as another one, whatever its segments and query look like.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void reachesTheEndpointAsItWasSent(long seed) throws Exception {
    Random random = new Random(seed);
    List<String> violations = new ArrayList<>();
    for (int i = 0; i < RANDOM_TARGETS; i++) {
      StringBuilder target = new StringBuilder();
      int segments = 1 + random.nextInt(4);
      for (int segment = 0; segment < segments; segment++) {
        target.append('/').append(SEGMENTS.get(random.nextInt(SEGMENTS.size())));
      }
      target.append(QUERIES.get(random.nextInt(QUERIES.size())));
      String forwarded = forwarded(METHODS.get(random.nextInt(METHODS.size())), target.toString());
      boolean refused = forwarded.startsWith(REFUSED);
      if (!forwarded.contentEquals(target) && !(refused && mayBeRefused(target.toString()))) {
        violations.add(target + " as " + forwarded);
      }
    }
    assertThat(violations).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "//a/b, //a/b",
    "//a, //a",
    "//, //",
    "///, ///",
    "///a, ///a",
    "//a:b/c, //a:b/c",
    "//a@b:1/c?d, //a@b:1/c?d",
    "//[::1]/a, //[::1]/a",
    "http://menus.example/a, /a",
    "http://menus.example//a/b?c, //a/b?c",
    "http://menus.example/a/../b?, /a/../b?",
    "http://menus.example/?a=http://b/c, /?a=http://b/c",
    "http://menus.example, /"
  })
  void isForwardedInItsOriginForm(String target, String forwarded) throws Exception {
    assertThat(forwarded("POST", target)).isEqualTo(forwarded);
  }

  /** What is no target of a request to a server is refused; it runs nowhere. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "*",
        "a/b",
        "/a#b",
        "/a?b#c",
        "/a#",
        "//a#b",
        "/%zz",
        "/a%",
        "//%zz/a",
        "http://other.example/a"
      })
  void isNeverForwardedAsAnotherOne(String target) throws Exception {
    assertThat(forwarded("POST", target))
        .satisfiesAnyOf(
            text -> assertThat(text).isEqualTo(target),
            text -> assertThat(text).startsWith(REFUSED));
  }
}
