package org.magnoliavale.internal.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.call.ArtifactDemand;
import org.magnoliavale.internal.call.AttemptListener;
import org.magnoliavale.internal.call.CallContext;
import org.magnoliavale.internal.call.CallMetrics;
import org.magnoliavale.internal.call.CallRegistry;
import org.magnoliavale.internal.call.CallRequest;
import org.magnoliavale.internal.call.CallerResponse;
import org.magnoliavale.internal.call.CrashDetector;
import org.magnoliavale.internal.call.EndpointConnector;
import org.magnoliavale.internal.call.OutgoingRequest;
import org.magnoliavale.internal.call.ResponseMemory;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.residency.FleetDemand;
import org.magnoliavale.internal.residency.ResidencyChangeLog;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.WeightedService;
import org.magnoliavale.platform.TestProtocol;

/**
 * A fleet on a virtual clock whose callers send plain requests to endpoints that name how many
 * requests a second they take from all instances together. Links and endpoints are simulated;
 * routing, limits, retries and heartbeats are the product's own.
 *
 * <p>A rejected caller comes back once, at any instance, when its rejection says so.
 */
final class LimitedFleet {
  private static final int STABLE_MS = LimitedEndpoint.STABLE_MS;
  private static final int HEARTBEAT_INTERVAL_MS = 500;
  private static final int TICK_INTERVAL_MS = 50;
  private static final int LINK_DELAY_MS = 2;
  private static final int CALL_TIMEOUT_MS = 2_500;
  private static final int PEER_EXPIRY_MS = 5_000;
  private static final int REJECTED = 503;

  /** What a caller got. */
  record Outcome(int status, int waitedMs) {}

  private final class Caller implements CallerResponse {
    private final int sentMs = time.nowMs();
    private final boolean mayRetry;

    Caller(boolean mayRetry) {
      this.mayRetry = mayRetry;
    }

    @Override
    public void respond(int status, HttpFields headers, ByteBuffer body) {
      outcomes.add(new Outcome(status, time.nowMs() - sentMs));
      if (status == REJECTED && mayRetry) {
        long delayMs = (long) (Double.parseDouble(headers.get("Retry-After")) * 1_000);
        time.after(delayMs, () -> instances.get(random.nextInt(instances.size())).call(false));
      }
    }

    @Override
    public void begin(int status, HttpFields headers) {
      throw new AssertionError("no answer is a stream");
    }

    @Override
    public void write(ByteBuffer bytes, Runnable written) {
      throw new AssertionError("no answer is a stream");
    }

    @Override
    public void finish() {
      throw new AssertionError("no answer is a stream");
    }

    @Override
    public void abort() {
      outcomes.add(new Outcome(0, time.nowMs() - sentMs));
    }
  }

  /** One instance; a restart gives it new state. */
  final class Instance {
    private final int number;
    private EndpointLimits limits;
    private EndpointPool pool;
    private PeerStateExchange exchange;
    private CallRegistry calls;
    private int cutUntilMs;
    private int downUntilMs;
    private int excusedUntilMs;

    private Instance(int number) {
      this.number = number;
      create();
    }

    private void create() {
      String id = "i" + number;
      EndpointDepartures departures = new EndpointDepartures();
      Membership membership = new Membership(Duration.ofMillis(PEER_EXPIRY_MS));
      limits =
          new EndpointLimits(
              now -> FleetMembers.view(id, membership.peers(now), Optional.of(listedInstances())));
      pool =
          new EndpointPool(
              "east",
              () -> membership.instanceCount(time.nanos()),
              departures,
              limits,
              new Random(number));
      pool.update(
          endpoints.values().stream().map(one -> TestEntries.entry(one.id(), 1)).toList(),
          time.nanos());
      CrashRegistry crashes = new CrashRegistry(id, () -> Instant.EPOCH);
      ArtifactDemand demand = new ArtifactDemand(() -> {});
      exchange =
          new PeerStateExchange(
              id,
              membership,
              crashes,
              demand,
              new FleetDemand(),
              pool,
              departures,
              limits,
              time::nanos);
      LeaseTimes times = LeaseTimes.of(Duration.ofSeconds(3), Duration.ofMillis(200));
      LeaseManager lease = new LeaseManager("orders", id, times, new Random(number));
      exchange.initialize(
          new CommandLeaseManager(lease, new FakeTable(), () -> true, GatewayFixture.failures()),
          new ResidencyChangeLog(),
          () -> {},
          () -> {});
      calls =
          new CallRegistry(
              new CallContext(
                  TestProtocol.create(),
                  this::send,
                  pool,
                  new EndpointStatements(limits, departures, time::nanos),
                  new FleetRetryBudget(0.2, 50, TimeUnit.SECONDS.toNanos(10), instances::size, 0),
                  demand,
                  new CrashDetector(crashes, endpoint -> {}),
                  () -> ROUTES,
                  new ResponseMemory(1 << 20),
                  new CallMetrics(new InstanceMetrics()),
                  time::nanos),
              new Random(number));
    }

    private EndpointConnector.Handle send(OutgoingRequest request, AttemptListener listener) {
      LimitedEndpoint endpoint = endpoints.get(request.endpoint().identity().id());
      time.after(LINK_DELAY_MS, () -> endpoint.receive(this, request, listener));
      return () -> {};
    }

    /** Sends a caller's request to this instance. */
    void call() {
      call(true);
    }

    private void call(boolean mayRetry) {
      if (!runs()) {
        return;
      }
      HttpFields headers =
          HttpFields.build()
              .put("X-Request-Attempt-Id", Long.toHexString(++requests))
              .put("X-Time-Remaining", Integer.toString(CALL_TIMEOUT_MS));
      calls.begin(
          new CallRequest("GET", HOST, "/read/1", "/read/1", headers, new byte[0], time.nanos()),
          new Caller(mayRetry));
    }

    /** Cuts the links to all peers, but not those to callers and endpoints. */
    void cutFromPeers(int forMs) {
      cutUntilMs = time.nowMs() + forMs;
      excusedUntilMs = cutUntilMs + STABLE_MS;
    }

    /** Ends the process and starts it again later. */
    void restart(int forMs) {
      downUntilMs = time.nowMs() + forMs;
      excusedUntilMs = downUntilMs + STABLE_MS;
      time.after(forMs, this::create);
    }

    int number() {
      return number;
    }

    boolean runs() {
      return time.nowMs() >= downUntilMs;
    }

    boolean isExcused() {
      return time.nowMs() < excusedUntilMs;
    }

    private boolean isLinked() {
      return runs() && time.nowMs() >= cutUntilMs;
    }

    private void tellPeers() {
      if (!isLinked()) {
        return;
      }
      Heartbeat heartbeat = exchange.heartbeat();
      for (Instance peer : instances) {
        if (peer != this) {
          time.after(LINK_DELAY_MS, () -> peer.hear(this, heartbeat));
        }
      }
    }

    private void hear(Instance peer, Heartbeat heartbeat) {
      if (isLinked()) {
        exchange.heartbeatReceived("i" + peer.number, heartbeat);
      }
    }

    private void step() {
      if (runs() && (time.nowMs() + number) % TICK_INTERVAL_MS == 0) {
        calls.tick();
        if (limits.takeNews()) {
          tellPeers();
        }
      }
      if ((time.nowMs() + 31 * number) % HEARTBEAT_INTERVAL_MS == 0) {
        tellPeers();
      }
    }
  }

  private static final String HOST = "menus.example";

  private static final RouteTable ROUTES =
      RouteTable.of(
          1,
          List.of(
              new Route(
                  "read",
                  HOST,
                  "/read/",
                  CallKind.IDEMPOTENT,
                  false,
                  0,
                  2,
                  Duration.ofMillis(CALL_TIMEOUT_MS),
                  Duration.ofMillis(200),
                  List.of(new WeightedService(TestEntries.SERVICE, 1)))),
          List.of(new ServiceSpecification(TestEntries.SERVICE, 1_000, Optional.empty())),
          1_000);

  private final Random random;
  private final SimulatedTime time = new SimulatedTime();
  private final Map<String, LimitedEndpoint> endpoints = new LinkedHashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<Outcome> outcomes = new ArrayList<>();
  private long requests;

  /** Returns a fleet whose instances know each other. */
  LimitedFleet(int seed, int instanceCount, int endpointCount) {
    random = new Random(seed);
    for (int i = 0; i < endpointCount; i++) {
      LimitedEndpoint endpoint = new LimitedEndpoint("e" + i, time);
      endpoints.put(endpoint.id(), endpoint);
    }
    for (int i = 0; i < instanceCount; i++) {
      instances.add(new Instance(i));
    }
    instances.forEach(Instance::tellPeers);
  }

  private List<ListedInstance> listedInstances() {
    return instances.stream()
        .map(instance -> new ListedInstance("i" + instance.number, "10.0.0.1:1", "live", "east"))
        .toList();
  }

  int nowMs() {
    return time.nowMs();
  }

  Instance instance(int number) {
    return instances.get(number);
  }

  LimitedEndpoint endpoint(int number) {
    return endpoints.get("e" + number);
  }

  Collection<LimitedEndpoint> endpoints() {
    return endpoints.values();
  }

  List<Outcome> outcomes() {
    return outcomes;
  }

  /** Runs the fleet with callers at the first {@code callersAt} instances. */
  void run(int forMs, double requestsPerSecond, int callersAt) {
    int endMs = time.nowMs() + forMs;
    double perMs = requestsPerSecond / TimeUnit.SECONDS.toMillis(1);
    while (time.nowMs() < endMs) {
      time.step();
      instances.forEach(Instance::step);
      if (random.nextDouble() < perMs) {
        instances.get(random.nextInt(callersAt)).call();
      }
    }
  }
}
