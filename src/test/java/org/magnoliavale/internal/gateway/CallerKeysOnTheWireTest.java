package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliavale.internal.tenant.Configurations.tenant;

import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;

/** The headers of keys and tenants as bytes on real connections. */
class CallerKeysOnTheWireTest extends GatewayFixture {
  private static final String KEY = "key-of-a";

  @BeforeEach
  void configureTenants() throws Exception {
    configure(tenants(2, tenant("a", KEY), tenant("b")));
  }

  private RouteTable tenants(long version, Tenant... tenants) {
    RouteTable plain = configuration(version, 10_000, List.of());
    List<Route> routes = new ArrayList<>(standardRoutes());
    routes.add(openRoute());
    return RouteTable.of(
        version, routes, plain.services(), TenantTable.of(List.of(tenants)), 10_000);
  }

  private Route openRoute() {
    Route route = route("/open/", CallKind.NON_IDEMPOTENT, false, Duration.ofSeconds(30));
    return new Route(
        route.name(),
        route.host(),
        route.prefix(),
        route.kind(),
        false,
        0,
        1,
        route.timeout(),
        route.targetLatency(),
        Duration.ZERO,
        true,
        route.services());
  }

  private static void send(Socket caller, String path, byte[] lines) throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(
        ("GET " + path + " HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: id-1\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(lines);
    bytes.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().write(bytes.toByteArray());
  }

  private static byte[] latin(String lines) {
    return lines.getBytes(StandardCharsets.ISO_8859_1);
  }

  private void expectUnauthenticated(byte[] lines) throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/unsafe/x", lines);
      String answer = readUntil(caller, "}");
      assertThat(answer).startsWith("HTTP/1.1 401 ").contains("id-1").doesNotContain("key-of");
      assertThat(answer.toLowerCase(Locale.ROOT)).doesNotContain("x-key", "x-tenant");
    }
    assertThat(endpoint.hasRequest()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "X-Key:\r\n",
        "X-Key: \t \r\n",
        "X-Key: other\r\n",
        "X-Key: KEY-OF-A\r\n",
        "X-Key: key-of-a x\r\n",
        "X-Key: key-of-a, key-of-a\r\n",
        "X-Key: \"key-of-a\"\r\n",
        "X-Key: key-of-a\r\nX-Key: key-of-a\r\n",
        "X-Key: key-of-a\r\nx-key: other\r\n",
        "X-Key: key-of-a\r\nX-Key:\r\n",
        "X_Key: key-of-a\r\n",
        "X-Tenant: a\r\n",
        "X-Key: \u00ff\u00fe\u0080\r\n",
        "X-Key: \u00c3\u0028\r\n"
      })
  void callWithoutAValidKeyIsAnswered401(String lines) throws Exception {
    expectUnauthenticated(latin(lines));
  }

  @Test
  void callWithALongKeyIsAnswered401() throws Exception {
    expectUnauthenticated(latin("X-Key: " + "k".repeat(30_000) + "\r\n"));
  }

  /** No header is parsed of a head that is beyond the bound of heads, so no id is known. */
  @Test
  void callWithAKeyBeyondTheBoundOfHeadsIsAnswered431() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/unsafe/x", latin("X-Key: " + "k".repeat(64 << 10) + "\r\n"));
      assertThat(readUntil(caller, "\r\n")).startsWith("HTTP/1.1 431 ");
    }
    assertThat(endpoint.hasRequest()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "X-Tenant: b\r\n",
        "x-TENANT: b\r\nX-Tenant: c\r\n",
        "X-Tenant:\r\n",
        "X_Tenant: b\r\n",
        "Connection: X-Tenant\r\n",
        "Connection: X-Key, X-Tenant\r\nX-Tenant: b\r\n"
      })
  void endpointGetsTheTenantOnceAndNeverTheKey(String lines) throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/unsafe/x", latin(lines + "x-KEY: " + KEY + "\r\n"));
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      assertThat(tenantLines(received)).containsExactly("x-tenant: a");
      assertThat(received.head()).doesNotContain(KEY);
      received.respond(200, "done");
      String answer = readUntil(caller, "done").toLowerCase(Locale.ROOT);
      assertThat(answer).startsWith("http/1.1 200 ").doesNotContain("x-key", "x-tenant");
    }
  }

  @Test
  void endpointGetsNeitherOnAnOpenRouteWithoutAValidKey() throws Exception {
    for (String lines : List.of("", "X-Key: other\r\nX-Tenant: a\r\n", "X-Tenant: a\r\n")) {
      try (Socket caller = connect()) {
        send(caller, "/open/x", latin(lines));
        RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
        assertThat(tenantLines(received)).isEmpty();
        assertThat(received.head()).doesNotContain("other");
        received.respond(200, "done");
        assertThat(readUntil(caller, "done")).contains(" 200 ");
      }
    }
  }

  private static List<String> tenantLines(RawEndpoint.ReceivedRequest received) {
    return received
        .head()
        .lines()
        .map(line -> line.toLowerCase(Locale.ROOT))
        .filter(line -> line.startsWith("x-tenant") || line.startsWith("x_tenant"))
        .toList();
  }

  @Test
  void keyThatIsTakenAwayIsRefusedOnceTheVersionIsAppliedAndItsStreamGoesOn() throws Exception {
    try (Socket caller = connect();
        Socket second = connect()) {
      send(caller, "/stream/x", latin("X-Key: " + KEY + "\r\n"));
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.beginStream();
      received.sendChunk(EVENT);
      configure(tenants(3, tenant("b", "key-of-b")));
      send(second, "/unsafe/x", latin("X-Key: " + KEY + "\r\n"));
      assertThat(readUntil(second, "}")).startsWith("HTTP/1.1 401 ");
      received.endStream();
      assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).endsWith("0\r\n\r\n");
    }
    String metrics = awaitMetric("calls_unauthenticated 1.0");
    assertThat(metrics).contains("calls_unauthenticated 1.0", "calls_of_tenant_a 1.0");
  }
}
