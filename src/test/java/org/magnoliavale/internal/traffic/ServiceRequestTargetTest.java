package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.http.EchoEndpoint;

/** Sends requests to a plain service, whose endpoint must get their targets as they were sent. */
class ServiceRequestTargetTest extends EchoServiceFixture {
  private static final int SOCKET_TIMEOUT_MS = 20_000;

  private String send(String target) throws IOException {
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
      caller.setSoTimeout(SOCKET_TIMEOUT_MS);
      String request = "GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  /** Guards against a path that is decoded or shortened on its way to the endpoint. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "/",
        "/a",
        "/a%20b",
        "/%41",
        "/%C3%BC",
        "/a/./b",
        "/a/../b",
        "/a;b=c",
        "/;a",
        "/a~b",
        "/a:b@c",
        "/$&'()*+,=!",
        "/a?",
        "/a?b=%20+c",
        "/a?http://b/c",
        "/%41;b?c=;d"
      })
  void reachesTheEndpointAsItWasSent(String target) throws Exception {
    assertThat(send(PREFIX + target)).startsWith("HTTP/1.1 200 ");
    assertThat(echo.received()).extracting(EchoEndpoint.Received::target).containsExactly(target);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/%73ervices/ordering/a", "/v1/../services/ordering/a"})
  void isNotFoundWithItsPrefixInAnotherForm(String target) throws Exception {
    assertThat(send(target)).startsWith("HTTP/1.1 404 ");
    assertThat(echo.received()).isEmpty();
  }
}
