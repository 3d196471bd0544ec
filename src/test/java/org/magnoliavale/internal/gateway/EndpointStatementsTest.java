package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What an endpoint says of itself, on real sockets: no further request reaches it. */
class EndpointStatementsTest extends GatewayFixture {
  private static final int CALLS = 20;

  @ParameterizedTest
  @CsvSource({
    "200, Server-Leaving: 1",
    "500, server-leaving: 1",
    "200, Server-Limit: 0.05",
    "404, SERVER-LIMIT: 0",
    "503, Retry-After: 50",
    "503, Retry-After: 99999999999"
  })
  void areActedOnAtOnce(int status, String header) throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/unsafe/x", "id-0");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.send(received.response(status, "end", "X-Response-Signature: s", header));
      readUntil(caller, status == 503 ? "}" : "end");
      for (int i = 1; i <= CALLS; i++) {
        send(caller, "/unsafe/x", "id-" + i);
        assertThat(readUntil(caller, "}")).contains("HTTP/1.1 503").contains("id-" + i);
      }
    }
    assertThat(endpoint.hasRequest()).isFalse();
  }
}
