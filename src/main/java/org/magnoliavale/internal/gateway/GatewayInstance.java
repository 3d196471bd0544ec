package org.magnoliavale.internal.gateway;

import com.codahale.metrics.Gauge;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.jboss.logging.Logger;
import org.magnoliavale.Service;
import org.magnoliavale.internal.call.ArtifactDemand;
import org.magnoliavale.internal.call.CallContext;
import org.magnoliavale.internal.call.CallMetrics;
import org.magnoliavale.internal.call.CallRegistry;
import org.magnoliavale.internal.call.CrashDetector;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.EndpointDirectory;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.http.HttpAddresses;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerIdentity;
import org.magnoliavale.internal.link.PeerLinks;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.residency.FleetDemand;
import org.magnoliavale.internal.residency.ResidencyController;
import org.magnoliavale.internal.route.RouteTable;

/**
 * One instance on a platform: follows the operator's configuration and the list of endpoints,
 * carries calls, and gives orders to engines while it holds the lease.
 */
public final class GatewayInstance implements Service {
  private static final Logger LOG = Logs.of("instance");
  private static final int CONTROL_CONNECTIONS = 64;
  private static final int BODY_BYTES_WITHOUT_CONFIGURATION = 4 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final Duration CONTROL_IDLE = Duration.ofSeconds(4);

  /** Time between two readings of the list of endpoints. */
  private static final long DIRECTORY_INTERVAL_MS = 1_200;

  /** The same for the instance that gives orders, which tells the others what is urgent. */
  private static final long DIRECTORY_HOLDER_MS = 500;

  /** The same while the effect of an order is awaited by its giver. */
  private static final long DIRECTORY_HURRY_MS = 250;

  private static final long TICK_MS = 50;

  /** Time for which an instance serves on after the stop signal, so that the balancer sees it. */
  private static final Duration SHORTEST_DRAIN = Duration.ofMillis(3_500);

  /** Part of the grace period that is kept for ending the process. */
  private static final Duration STOP_RESERVE = Duration.ofMillis(400);

  /** Time after the stop signal from which on no stream is begun; it might not end in time. */
  private static final Duration LATEST_STREAM = Duration.ofMillis(2_900);

  /** The same for every other call. */
  private static final Duration LATEST_CALL = Duration.ofMillis(5_500);

  private static final Duration LEASE_DRIFT = Duration.ofMillis(200);

  /** Time after the start of a renewal in which the next one must be confirmed. */
  private static final long LEASE_ACTING_MS = 1_900;

  private final GatewaySettings settings;
  private final GatewayPorts ports;
  private final HttpClient controlClient;
  private final HttpClient endpointClient;
  private final GatewayNetwork network = new GatewayNetwork();
  private final InstanceMetrics metrics = new InstanceMetrics();
  private final Membership membership;
  private final EndpointPool endpoints;
  private final EndpointDirectory directory = new EndpointDirectory();
  private final CallRegistry calls;
  private final FleetExchange exchange;
  private final FleetRegistry registry;
  private final PeerLinks links;
  private final OrderLeaseKeeper lease;
  private final ResidencyController residency;
  private final CrashDetector crashWatch;
  private final GatewayServers servers;
  private final ConfigurationFollower configuration;
  private final Executor orders = Executors.newVirtualThreadPerTaskExecutor();
  private volatile boolean listed;
  private List<String> drainingTold = List.of();
  private volatile boolean leaving;
  private volatile boolean stopped;

  private GatewayInstance(GatewaySettings settings, GatewayPorts.Factory factory) {
    this.settings = settings;
    String incarnation = settings.instance() + "/" + UUID.randomUUID().toString().substring(0, 8);
    controlClient = network.client("control", CONTROL_CONNECTIONS, CONNECT_TIMEOUT, CONTROL_IDLE);
    endpointClient = network.endpointClient(CONNECT_TIMEOUT);
    ports = factory.create(JsonClient.of(controlClient), settings);
    configuration = new ConfigurationFollower(ports.configuration());
    membership = new Membership(settings.peers().silenceTimeout());
    endpoints = new EndpointPool(settings.dataCentre(), this::liveInstances, new Random());
    CrashRegistry crashes = new CrashRegistry(incarnation, InstantSource.system());
    crashWatch = new CrashDetector(crashes);
    ArtifactDemand demand = new ArtifactDemand(this::announceDemand);
    FleetDemand fleetDemand = new FleetDemand();
    calls = new CallRegistry(callServices(demand), ThreadLocalRandom.current());
    exchange =
        new FleetExchange(
            settings.instance(),
            membership,
            crashes,
            demand,
            fleetDemand,
            endpoints,
            System::nanoTime);
    registry =
        new FleetRegistry(
            ports.table(),
            new ListedInstance(
                settings.instance(), HttpAddresses.text(settings.peers().address()), "live"),
            System::nanoTime);
    lease = new OrderLeaseKeeper(leaseKeeper(incarnation), ports.table(), exchange::isHolderHeard);
    residency = residencyController(fleetDemand);
    links =
        new PeerLinks(
            settings.peers(),
            new PeerIdentity(settings.instance(), incarnation),
            registry,
            exchange,
            exchange,
            metrics.counter("link_frames_rejected"));
    exchange.connect(lease, residency.changeLog(), calls::endpointsChanged, this::demandChanged);
    servers =
        new GatewayServers(
            settings,
            network,
            new GatewayHandler(calls, ports.protocol(), this::maximumBodyBytes, () -> leaving),
            new ReadinessHandler(this::isReady),
            metrics);
    registerMetrics();
  }

  /** Returns an instance that is not started yet. */
  public static GatewayInstance create(GatewaySettings settings, GatewayPorts.Factory factory) {
    return new GatewayInstance(settings, factory);
  }

  private CallContext callServices(ArtifactDemand demand) {
    return new CallContext(
        ports.protocol(),
        new JettyEndpointConnector(endpointClient),
        endpoints,
        budget(),
        demand,
        crashWatch,
        configuration::routes,
        new CallMetrics(metrics),
        System::nanoTime);
  }

  private ResidencyController residencyController(FleetDemand fleetDemand) {
    return ResidencyController.builder()
        .lease(lease)
        .control(ports.control())
        .demand(fleetDemand)
        .routes(configuration::routes)
        .holder(settings.instance())
        .executor(orders)
        .nanoClock(System::nanoTime)
        .onChange(this::announceResidency)
        .health(new PoolHealth(endpoints, System::nanoTime))
        .ceilingWindowSeconds(settings.ceilingWindow().toSeconds())
        .build();
  }

  private FleetRetryBudget budget() {
    return new FleetRetryBudget(
        settings.repeatRatio(),
        settings.repeatReserve(),
        settings.repeatWindow().toNanos(),
        this::liveInstances,
        System.nanoTime());
  }

  private LeaseManager leaseKeeper(String incarnation) {
    LeaseTimes times = LeaseTimes.of(settings.lease(), LEASE_DRIFT);
    return new LeaseManager("orders", incarnation, times, new Random())
        .reclaimingOwnLease()
        .withActingLimit(LEASE_ACTING_MS);
  }

  private void registerMetrics() {
    metrics.registry().register("calls_in_progress", (Gauge<Integer>) calls::size);
    metrics.registry().register("instances", (Gauge<Integer>) this::liveInstances);
    metrics.registry().register("link_bytes_sent", (Gauge<Long>) links::bytesSent);
    metrics.registry().register("configuration_version", (Gauge<Long>) this::configurationVersion);
  }

  private int liveInstances() {
    return membership.instances(System.nanoTime());
  }

  private long configurationVersion() {
    RouteTable table = configuration.routes();
    return table == null ? 0 : table.version();
  }

  private int maximumBodyBytes() {
    RouteTable table = configuration.routes();
    return table == null ? BODY_BYTES_WITHOUT_CONFIGURATION : table.maximumBodyBytes();
  }

  private boolean isReady() {
    return configuration.routes() != null && listed && !leaving;
  }

  private void announceDemand() {
    exchange.refreshOwn();
    links.announce();
    demandChanged();
  }

  private void demandChanged() {
    residency.tick();
  }

  private void announceResidency() {
    exchange.refreshOwn();
    links.announce();
    calls.endpointsChanged();
  }

  @Override
  public void start() {
    HttpClients.start(controlClient);
    network.startEndpointClient(endpointClient);
    servers.start();
    configuration.start();
    Thread.ofVirtual().name("directory").start(this::followDirectory);
    links.start();
    lease.start();
    Thread.ofVirtual().name("tick").start(this::tickLoop);
    LOG.infof(
        "Started. instance=%s callers=%s readiness=%s metrics=%s store=%s",
        settings.instance(),
        settings.callers(),
        settings.readiness(),
        settings.metrics(),
        settings.store());
  }

  private void followDirectory() {
    boolean available = true;
    while (!stopped) {
      DirectoryReadResult reading = ports.directory().read();
      switch (reading) {
        case DirectoryReadResult.Entries(List<DirectoryEntry> entries) -> {
          update(directory.update(entries, System.nanoTime()));
          if (!available) {
            LOG.infof("Endpoints can be read again. count=%d", entries.size());
          }
          available = true;
        }
        case DirectoryReadResult.Unavailable(String reason) -> {
          directory.markUnavailable();
          if (available) {
            LOG.infof("Endpoints can't be read. reason=%s", reason);
          }
          available = false;
        }
      }
      sleep(directoryIntervalMs());
    }
  }

  private long directoryIntervalMs() {
    if (!lease.isHeld()) {
      return DIRECTORY_INTERVAL_MS;
    }
    return residency.isAwaitingEndpoints() ? DIRECTORY_HURRY_MS : DIRECTORY_HOLDER_MS;
  }

  private void update(Collection<DirectoryEntry> entries) {
    endpoints.update(entries, System.nanoTime());
    residency.update(entries);
    listed = true;
    if (lease.isHeld() && !endpoints.draining().equals(drainingTold)) {
      drainingTold = endpoints.draining();
      links.announce();
    }
    calls.endpointsChanged();
  }

  private void tickLoop() {
    while (!stopped) {
      calls.tick();
      exchange.refreshOwn();
      residency.tick();
      if (lease.takeSurrendered()) {
        links.announce();
      }
      sleep(TICK_MS);
    }
  }

  @Override
  public void stop() {
    LOG.infof("Stopping. calls=%d", calls.size());
    long startNanos = System.nanoTime();
    leaving = true;
    exchange.setLeaving();
    lease.release();
    links.announce();
    Thread.ofVirtual().name("leave").start(registry::leave);
    awaitDrain(startNanos, LATEST_STREAM);
    calls.refuseStreams();
    awaitDrain(startNanos, LATEST_CALL);
    // From here on callers find the port closed, which tells them that nothing was read.
    servers.stopAcceptingCallers();
    calls.refuseAll();
    awaitDrain(startNanos, settings.gracePeriod().minus(STOP_RESERVE));
    LOG.infof("Stopped. calls=%d", calls.size());
    stopped = true;
    configuration.stop();
    lease.stop();
  }

  /** Waits until a time after the start of the stop, or until all calls have ended. */
  private void awaitDrain(long startNanos, Duration until) {
    while (!isDrained(startNanos) && System.nanoTime() - startNanos < until.toNanos()) {
      sleep(TICK_MS);
    }
  }

  /** Ends everything at once, without a drain. */
  public void halt() {
    stopped = true;
    configuration.stop();
    lease.stop();
    links.stop();
    servers.stop();
    HttpClients.stop(endpointClient);
    HttpClients.stop(controlClient);
  }

  private boolean isDrained(long startNanos) {
    return System.nanoTime() - startNanos >= SHORTEST_DRAIN.toNanos() && calls.size() == 0;
  }

  private static void sleep(long milliseconds) {
    try {
      TimeUnit.MILLISECONDS.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the port that callers connect to. */
  public int callerPort() {
    return servers.callerPort();
  }

  /** Returns the port that metrics are read from. */
  public int metricsPort() {
    return servers.metricsPort();
  }
}
