package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.route.CallKind;

/** Guards against a caller's odd time that is refused, or ends the time limits of other calls. */
class ExtremeTimeRemainingTest extends GatewayFixture {
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

  private static void send(Socket socket, String path, String id, String timeRemaining)
      throws Exception {
    String head =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: "
            + id
            + "\r\nX-Time-Remaining: "
            + timeRemaining
            + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"9223372036854775807", "9223372036854775808", "1e300", "NaN", "", "0x10", "+9000"})
  void requestIsAnsweredAndALaterOneReachesItsTimeout(String timeRemaining) throws Exception {
    configure(
        configuration(
            2,
            1_000,
            List.of(
                route("/safe/", CallKind.IDEMPOTENT, false, Duration.ofSeconds(20)),
                route("/hangs/", CallKind.NON_IDEMPOTENT, false, SHORT_TIMEOUT))));
    try (Socket patient = connect();
        Socket hanging = connect()) {
      send(patient, "/safe/x", "id-1", timeRemaining);
      endpoint.nextRequest().respond(200, "done");
      assertThat(readUntil(patient, "done")).contains(" 200 ");
      send(hanging, "/hangs/x", "id-2", "9223372036854775807");
      endpoint.nextRequest();
      assertThat(readUntil(hanging, "\r\n\r\n")).contains(" 504 ");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"-1", "-9223372036854775808", "-9223372036854775809"})
  void requestWithoutTimeIsRejectedAtOnceAndNotSent(String timeRemaining) throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/unsafe/x", "id-1", timeRemaining);
      assertThat(readUntil(caller, "\r\n\r\n")).contains(" 503 ");
      assertThat(endpoint.hasRequest()).isFalse();
    }
  }
}
