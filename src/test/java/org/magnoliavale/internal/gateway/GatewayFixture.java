package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
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
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.UnexpectedFailures;
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

/** A complete instance between plain caller sockets and a raw endpoint. */
abstract class GatewayFixture {
  static final ServiceId SERVICE = new ServiceId("assistant");
  static final int SOCKET_TIMEOUT_MS = 20_000;
  static final long POLL_INTERVAL_MS = 10;

  /** Retries beyond the share of requests, more than the cases of one test class need. */
  private static final int RETRY_BUDGET = 10_000;

  static final String EVENT = "id: 1\ndata: a\n\n";

  private static final int MAXIMUM_CHECKS = 1_000;
  private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(30);
  private static final int BODY_LIMIT_BYTES = 10_000;

  private volatile RouteTable configuration = configuration(1, BODY_LIMIT_BYTES, standardRoutes());
  RawEndpoint endpoint;
  GatewayInstance instance;
  private boolean halted;

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
            (client, settings, listener) ->
                new PlatformAdapters(
                    new FakeTable(),
                    new FakeTable(),
                    this::pollConfiguration,
                    () -> new DirectoryReadResult.Entries(entries(), 0),
                    protocol(),
                    new RejectingEndpointControl()));
    instance.start();
    awaitReady();
  }

  @AfterEach
  void stop() throws Exception {
    halt();
    endpoint.close();
  }

  /** Halts the instance; does nothing if it was halted before. */
  void halt() {
    if (!halted) {
      halted = true;
      instance.halt();
    }
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
        RETRY_BUDGET,
        second.multipliedBy(10),
        second.multipliedBy(5),
        "warn");
  }

  static UnexpectedFailures failures() {
    return new UnexpectedFailures(new Counter(), Logs.of("test"));
  }

  /** Returns the headers of callers and endpoints. */
  CallProtocol protocol() {
    return TestProtocol.create();
  }

  /** Returns the number of endpoints; all listen on {@link #endpointAddress}. */
  int endpointCount() {
    return 1;
  }

  /** Returns the maximum number of attempts of each route. */
  int maximumAttempts() {
    return 1;
  }

  private ConfigurationPollResult pollConfiguration() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return new ConfigurationPollResult.Found(configuration);
  }

  static RouteTable configuration(long version, int bodyLimitBytes, List<Route> routes) {
    return RouteTable.of(
        version,
        routes,
        List.of(new ServiceSpecification(SERVICE, 100, Optional.empty())),
        bodyLimitBytes);
  }

  final List<Route> standardRoutes() {
    return List.of(
        route("/stream/", CallKind.STREAM, true, ROUTE_TIMEOUT),
        route("/once/", CallKind.STREAM, false, ROUTE_TIMEOUT),
        route("/safe/", CallKind.IDEMPOTENT, false, ROUTE_TIMEOUT),
        route("/unsafe/", CallKind.NON_IDEMPOTENT, false, ROUTE_TIMEOUT));
  }

  final Route route(String prefix, CallKind kind, boolean resumable, Duration timeout) {
    return new Route(
        prefix,
        "menus.example",
        prefix,
        kind,
        resumable,
        0,
        maximumAttempts(),
        timeout,
        ROUTE_TIMEOUT,
        List.of(new WeightedService(SERVICE, 1)));
  }

  /** Puts a configuration in force; returns when the instance has applied it. */
  void configure(RouteTable table) throws Exception {
    configuration = table;
    String line = "configuration_version " + (double) table.version();
    assertThat(awaitMetric(line)).contains(line);
  }

  /** Returns the address of all endpoints. */
  InetSocketAddress endpointAddress() {
    return endpoint.address();
  }

  private List<DirectoryEntry> entries() {
    return IntStream.rangeClosed(1, endpointCount()).mapToObj(this::entry).toList();
  }

  private DirectoryEntry entry(int number) {
    return new DirectoryEntry(
        new EndpointIdentity("i-" + number, 1),
        SERVICE,
        endpointAddress(),
        "east",
        false,
        8,
        1,
        Map.of(),
        Set.of(),
        Set.of());
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), instance.callerPort());
    socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    return socket;
  }

  static void send(Socket socket, String path, String id) throws IOException {
    String head =
        "GET " + path + " HTTP/1.1\r\nHost: menus.example\r\nX-Request-Attempt-Id: " + id + "\r\n";
    socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads until the text has been received or the connection is closed. */
  static String readUntil(Socket socket, String text) throws IOException {
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

  /** Reads the metrics until they contain a line; returns the last ones that were read. */
  String awaitMetric(String line) throws Exception {
    String metrics = "";
    for (int i = 0; i < MAXIMUM_CHECKS && !metrics.contains(line); i++) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      try (Socket reader = new Socket(InetAddress.getLoopbackAddress(), instance.metricsPort())) {
        reader.setSoTimeout(SOCKET_TIMEOUT_MS);
        reader
            .getOutputStream()
            .write(
                "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        metrics = new String(reader.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      }
    }
    return metrics;
  }
}
