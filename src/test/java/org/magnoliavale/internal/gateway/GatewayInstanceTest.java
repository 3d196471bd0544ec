package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.residency.EndpointCommand;
import org.magnoliavale.internal.residency.EndpointCommandResult;
import org.magnoliavale.internal.residency.EndpointControl;
import org.magnoliavale.internal.residency.EndpointReport;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.WeightedService;
import org.magnoliavale.internal.settings.PeerSettings;
import org.magnoliavale.platform.TestProtocol;

/** Runs a complete instance between plain caller sockets and a raw endpoint. */
class GatewayInstanceTest {
  private static final ServiceId SERVICE = new ServiceId("assistant");
  private static final int SOCKET_TIMEOUT_MS = 20_000;
  private static final long POLL_INTERVAL_MS = 10;
  private static final int MAXIMUM_CONNECTION_CHECKS = 1_000;
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private RawEndpoint endpoint;
  private GatewayInstance instance;

  private static final class RejectingEndpointControl implements EndpointControl {
    @Override
    public EndpointCommandResult send(DirectoryEntry entry, EndpointCommand command) {
      return EndpointCommandResult.INVALID;
    }

    @Override
    public boolean isDown(DirectoryEntry entry) {
      return false;
    }

    @Override
    public Optional<EndpointReport> fetchReport(DirectoryEntry entry) {
      return Optional.empty();
    }
  }

  @BeforeEach
  void start() throws Exception {
    endpoint = new RawEndpoint();
    instance =
        GatewayInstance.create(
            settings(),
            (client, settings) ->
                new PlatformAdapters(
                    new FakeTable(),
                    GatewayInstanceTest::configuration,
                    () -> new DirectoryReadResult.Entries(List.of(entry())),
                    TestProtocol.create(),
                    new RejectingEndpointControl()));
    instance.start();
    awaitReady();
  }

  @AfterEach
  void stop() throws Exception {
    instance.halt();
    endpoint.close();
  }

  private static GatewaySettings settings() {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Duration second = Duration.ofSeconds(1);
    return new GatewaySettings(
        "front-1",
        "east",
        any,
        any,
        any,
        new PeerSettings(any, "key", second, second.multipliedBy(4)),
        any,
        second.multipliedBy(3),
        second.multipliedBy(8),
        0.2,
        50,
        second.multipliedBy(10),
        second.multipliedBy(5),
        "warn");
  }

  private static ConfigurationPollResult configuration() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return new ConfigurationPollResult.Found(
        RouteTable.of(
            1,
            List.of(
                route("/stream/", CallKind.STREAM, true),
                route("/safe/", CallKind.IDEMPOTENT, false)),
            List.of(new ServiceSpecification(SERVICE, 100, Optional.empty())),
            10_000));
  }

  private static Route route(String prefix, CallKind kind, boolean resumable) {
    Duration timeout = Duration.ofSeconds(30);
    return new Route(
        prefix,
        "menus.example",
        prefix,
        kind,
        resumable,
        0,
        1,
        timeout,
        timeout,
        List.of(new WeightedService(SERVICE, 1)));
  }

  private DirectoryEntry entry() {
    return new DirectoryEntry(
        new EndpointIdentity("i-1", 1),
        SERVICE,
        endpoint.address(),
        "east",
        false,
        8,
        1,
        Map.of(),
        Set.of(),
        Set.of());
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), instance.callerPort());
    socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    return socket;
  }

  private static void send(Socket socket, String path, String id) throws IOException {
    String head =
        "GET " + path + " HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: " + id + "\r\n";
    socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads until the text has been received or the connection is closed. */
  private static String readUntil(Socket socket, String text) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.UTF_8).contains(text)) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        break;
      }
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private void awaitReady() throws Exception {
    while (true) {
      try (Socket socket = connect()) {
        send(socket, "/nowhere/", "id-0");
        if (readUntil(socket, "\r\n").contains(" 404 ")) {
          return;
        }
      }
    }
  }

  @Nested
  class CallerDisconnect {
    @Test
    void cancelsAttemptBeforeFirstEvent() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        received = endpoint.nextRequest();
      }
      assertThat(received.awaitClose()).isTrue();
    }

    @Test
    void cancelsAttemptBetweenEvents() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/stream/x", "id-1");
        received = endpoint.nextRequest();
        received.beginStream();
        received.sendChunk(EVENT);
        readUntil(caller, "data: a");
      }
      assertThat(received.awaitClose()).isTrue();
    }

    @Test
    void cancelsAttemptOnReusedConnection() throws Exception {
      RawEndpoint.ReceivedRequest received;
      try (Socket caller = connect()) {
        send(caller, "/safe/x", "id-1");
        endpoint.nextRequest().respond(200, "first");
        readUntil(caller, "first");
        send(caller, "/stream/x", "id-2");
        received = endpoint.nextRequest();
      }
      assertThat(received).isNotNull();
      assertThat(received.awaitClose()).isTrue();
    }
  }

  @Test
  void streamIsForwardedCompletelyAndConnectionIsReused() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/stream/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      assertThat(received.header("X-Expected-Instance")).isEqualTo("i-1");
      received.beginStream();
      received.sendChunk(EVENT);
      received.endStream();
      assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).contains("X-Response-Signature");
      send(caller, "/nowhere/", "id-2");
      assertThat(readUntil(caller, "no such route")).contains(" 404 ");
    }
  }

  @Test
  void pipelinedRequestIsAnsweredAfterFirst() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/safe/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      send(caller, "/nowhere/", "id-2");
      received.respond(200, "first");
      assertThat(readUntil(caller, "first")).contains(" 200 ");
      assertThat(readUntil(caller, "no such route")).contains(" 404 ");
    }
  }

  @Test
  void metricsPortReportsAnsweredCalls() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/safe/x", "id-1");
      endpoint.nextRequest().respond(200, "first");
      readUntil(caller, "first");
    }
    try (Socket reader = new Socket(InetAddress.getLoopbackAddress(), instance.metricsPort())) {
      reader.setSoTimeout(SOCKET_TIMEOUT_MS);
      send(reader, "/metrics", "none");
      assertThat(readUntil(reader, "calls_answered 1.0")).contains("calls_answered 1.0");
    }
  }

  @Test
  void truncatedStreamDoesNotAppearComplete() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/stream/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.beginStream();
      received.sendChunk(EVENT + "id: 2\nda");
      readUntil(caller, "data: a");
      received.endStream();
      assertThat(readUntil(caller, "0\r\n\r\n")).doesNotContain("0\r\n\r\n");
    }
  }

  /** A stream that has neither a length nor chunks and ends with its connection. */
  @Nested
  class UnframedStream {
    private Socket caller;
    private RawEndpoint.ReceivedRequest received;

    @BeforeEach
    void request() throws Exception {
      caller = connect();
      send(caller, "/stream/x", "id-1");
      received = endpoint.nextRequest();
      received.beginUnframedStream();
    }

    @AfterEach
    void close() throws IOException {
      caller.close();
    }

    @Test
    void isCompleteAfterAWholeEvent() throws Exception {
      received.send(EVENT);
      received.close();
      assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).endsWith("0\r\n\r\n");
    }

    @Test
    void doesNotAppearCompleteIfItEndsInsideAnEvent() throws Exception {
      received.send(EVENT + "id: 2\nda");
      received.close();
      assertThat(readUntil(caller, "0\r\n\r\n")).contains(EVENT).doesNotContain("0\r\n\r\n");
    }

    @Test
    void doesNotAppearCompleteIfItIsReset() throws Exception {
      received.send(EVENT);
      assertThat(readUntil(caller, EVENT)).contains(EVENT);
      received.reset();
      assertThat(readUntil(caller, "0\r\n\r\n")).doesNotContain("0\r\n\r\n");
    }

    @Test
    void isNoSuccessIfItEndsBeforeItsFirstEvent() throws Exception {
      received.close();
      assertThat(readUntil(caller, "\r\n\r\n")).doesNotContain(" 200 ");
    }
  }

  @Test
  void stopDrainsCallsAndThenClosesPort() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/stream/x", "id-1");
      RawEndpoint.ReceivedRequest received = endpoint.nextRequest();
      received.beginStream();
      received.sendChunk(EVENT);
      readUntil(caller, "data: a");
      Thread stop = Thread.ofVirtual().start(instance::stop);
      received.endStream();
      assertThat(readUntil(caller, "0\r\n\r\n")).endsWith("0\r\n\r\n");
      stop.join();
    }
    awaitClosedPort();
  }

  /** Returns when connections to the port are refused; fails if it keeps accepting them. */
  private void awaitClosedPort() throws Exception {
    for (int attempt = 0; attempt < MAXIMUM_CONNECTION_CHECKS; attempt++) {
      try (Socket socket = connect()) {
        assertThat(socket.isConnected()).isTrue();
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      } catch (IOException e) {
        assertThat(e).hasMessageContaining("refused");
        return;
      }
    }
    fail("the caller port still accepts connections");
  }
}
