package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.EndpointStatement;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.WeightedService;
import org.magnoliavale.internal.tenant.CallerKeys;
import org.magnoliavale.platform.TestProtocol;

/** A {@link CallRegistry} with a scripted connector and two endpoints that hold model {@code m}. */
abstract class CallFixture {
  static final String EVENT_ONE = "id: 1\ndata: a\n\n";
  static final String EVENT_TWO = "id: 2\ndata: b\n\n";
  static final String EVENT_THREE = "id: 3\ndata: c\n\n";

  long now = TimeUnit.SECONDS.toNanos(100);
  private final double retryReserve = 1_000;
  final FleetRetryBudget retryBudget =
      new FleetRetryBudget(
          0, retryReserve, TimeUnit.SECONDS.toNanos(10), () -> 1, now - (long) 1e12);
  final ScriptedConnector connector = new ScriptedConnector();
  RecordingCaller caller = new RecordingCaller();
  final EndpointDepartures departures = new EndpointDepartures();
  final EndpointLimits limits = EndpointLimits.ofSingleInstance();
  final EndpointPool pool = new EndpointPool("east", () -> 1, departures, limits, new Random(1));

  /** Endpoints that are suspected to have crashed. */
  final List<String> probed = new ArrayList<>();

  final CrashDetector crashDetector =
      new CrashDetector(
          new CrashRegistry("self", () -> java.time.Instant.EPOCH),
          endpoint -> probed.add(endpoint.identity().id()));

  private final InstanceMetrics metrics = new InstanceMetrics();

  final ResponseMemory responseMemory = new ResponseMemory(1 << 20);

  final QueuedCalls queue = new QueuedCalls(new Random(1));

  /** Selects endpoints; the pool does unless a test replaces it. */
  EndpointChooser chooser = pool::choose;

  /** Runs once, at the next reading of the clock. */
  Runnable onNextClockReading = () -> {};

  /** Connections that an endpoint accepts from all instances. */
  int connectionLimit = 100;

  CallRegistry calls;
  RouteTable table;

  @BeforeEach
  void start() {
    updateEndpoints(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m"));
    table = createTable();
    calls =
        new CallRegistry(
            new CallContext(
                TestProtocol.create(),
                connector,
                pool,
                (criteria, limit, nanos) -> chooser.choose(criteria, limit, nanos),
                this::heard,
                retryBudget,
                new ArtifactDemand(() -> {}),
                crashDetector,
                peers(),
                queue,
                () -> table == null ? null : createTable(),
                CallerKeys.ofSingleInstance(),
                origins(),
                quota(),
                responseMemory,
                new CallMetrics(metrics),
                this::readClock),
            new Random(1));
  }

  /** Guards against an exception, such as one of a check in a test, that a call contains. */
  @AfterEach
  void expectNoContainedException() {
    if (!throwsOnPurpose()) {
      assertThat(metrics.counter("calls_failed_unexpectedly").getCount()).isZero();
    }
  }

  /** Returns whether steps of calls throw because the test wants them to. */
  boolean throwsOnPurpose() {
    return false;
  }

  /** Returns what passes calls to peers. */
  PeerCalls peers() {
    return PeerCalls.none();
  }

  /** Returns what knows which software version began a stream. */
  StreamOrigins origins() {
    return StreamOrigins.ofUnstatedVersions();
  }

  /** Returns what decides on tenants' quotas. */
  QuotaCheck quota() {
    return QuotaCheck.unlimited();
  }

  long counter(String name) {
    return metrics.counter(name).getCount();
  }

  private void heard(EndpointIdentity endpoint, EndpointStatement statement, long sentNanos) {
    limits.observe(endpoint, statement.limit(), sentNanos, now);
    if (statement.pause().isPositive()) {
      limits.pause(endpoint, statement.pause(), now);
    }
    if (statement.leaving()) {
      departures.observeLeaving(endpoint, now);
    }
  }

  /** Returns the configuration in force. */
  RouteTable createTable() {
    return RouteTable.of(
        1,
        List.of(
            route("/safe/", CallKind.IDEMPOTENT, false, 2),
            route("/unsafe/", CallKind.NON_IDEMPOTENT, false, 1),
            route("/stream/", CallKind.STREAM, true, 2),
            route("/long/", CallKind.STREAM, true, 3),
            route("/once/", CallKind.STREAM, false, 1)),
        List.of(new ServiceSpecification(TestEntries.SERVICE, connectionLimit, Optional.empty())),
        1_000);
  }

  private long readClock() {
    Runnable hook = onNextClockReading;
    onNextClockReading = () -> {};
    hook.run();
    return now;
  }

  void updateEndpoints(DirectoryEntry... entries) {
    pool.update(List.of(entries), now);
  }

  private static Route route(String prefix, CallKind kind, boolean resumable, int attempts) {
    return new Route(
        prefix,
        "menus.example",
        prefix,
        kind,
        resumable,
        0,
        attempts,
        Duration.ofSeconds(10),
        Duration.ofMillis(200),
        List.of(new WeightedService(TestEntries.SERVICE, 1)));
  }

  Runnable call(String path, String... headers) {
    HttpFields.Mutable fields =
        HttpFields.build().put("X-Request-Attempt-Id", "id-1").put("X-Time-Remaining", "4000");
    for (int i = 0; i < headers.length; i += 2) {
      fields.put(headers[i], headers[i + 1]);
    }
    byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
    return calls.begin(
        new CallRequest("POST", "menus.example:80", path, path + "?x=1", fields, body, now),
        caller);
  }

  void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
    calls.tick();
  }

  List<String> endpoints() {
    List<String> endpoints = new ArrayList<>();
    connector.sent().forEach(sent -> endpoints.add(sent.endpoint()));
    return endpoints;
  }
}
