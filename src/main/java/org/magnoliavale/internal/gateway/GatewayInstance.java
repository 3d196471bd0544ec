package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.Service;
import org.magnoliavale.internal.call.ArtifactDemand;
import org.magnoliavale.internal.call.CallContext;
import org.magnoliavale.internal.call.CallMetrics;
import org.magnoliavale.internal.call.CallRegistry;
import org.magnoliavale.internal.call.CrashDetector;
import org.magnoliavale.internal.call.GracefulDrain;
import org.magnoliavale.internal.call.ResponseMemory;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.http.HttpAddresses;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerIdentity;
import org.magnoliavale.internal.link.PeerLinks;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.metrics.UnexpectedFailures;
import org.magnoliavale.internal.origin.RecordedOrigins;
import org.magnoliavale.internal.residency.DelayingExecutor;
import org.magnoliavale.internal.residency.FleetDemand;
import org.magnoliavale.internal.residency.ResidencyController;

/**
 * An instance on a platform: polls the operator's configuration and the endpoint directory,
 * forwards calls to endpoints, and sends load and unload commands to engines while it holds the
 * command lease.
 *
 * <p>Life cycle: {@link #create}, {@link #start}, then {@link #stop}, which drains calls within the
 * grace period and leaves the remaining servers and links open until the process exits. {@link
 * #halt} stops at once, without draining.
 *
 * <p>Threads: calls run on Jetty's shared pool and never block. Configuration, directory, lease and
 * the periodic tick each run on a virtual thread; commands run on one virtual thread each. Time is
 * monotonic and in nanoseconds. A failed read of the configuration or directory is logged and
 * retried; the last known state stays in use.
 */
public final class GatewayInstance implements Service {
  private static final Logger LOG = Logs.of("instance");

  private static final long TICK_INTERVAL_MS = 100;
  private static final long IDLE_TICK_INTERVAL_MS = 250;

  private final GatewaySettings settings;
  private final FleetRetryBudget retryBudget;
  private final PlatformAdapters adapters;
  private final JettyTransport transport = new JettyTransport();
  private final InstanceReach reach = new InstanceReach();
  private final GatewayClients clients = new GatewayClients(transport, reach::connected);
  private final InstanceMetrics metrics = new InstanceMetrics();
  private final UnexpectedFailures failures =
      new UnexpectedFailures(metrics.counter("steps_failed_unexpectedly"), LOG);
  private final Membership membership;
  private final EndpointDepartures departures = new EndpointDepartures();
  private final EndpointLimits limits = new EndpointLimits(this::fleet);
  private final EndpointStatements statements =
      new EndpointStatements(limits, departures, System::nanoTime);
  private final EndpointPool endpoints;
  private final DirectoryReads directory;
  private final CallRegistry calls;
  private final QuotaKeeper quotas;
  private final RecordedOrigins origins;
  private final PeerStateExchange peerState;
  private final InstanceRegistry registry;
  private final PeerLinks links;
  private final CommandLeaseManager lease;
  private final ResidencyController residency;
  private final CrashDetector crashDetector;
  private final GatewayHandler callerHandler;
  private final GatewayServers servers;
  private final ConfigurationReads configuration;
  private final TickLoop ticks =
      new TickLoop(
          "tick",
          TICK_INTERVAL_MS,
          IDLE_TICK_INTERVAL_MS,
          this::needsFrequentTicks,
          this::tick,
          failures);
  private final DelayingExecutor commandExecutor = DelayingExecutor.onVirtualThreads();
  private volatile Duration gracePeriod;
  private volatile boolean stopping;

  private GatewayInstance(GatewaySettings settings, PlatformAdapters.Factory factory) {
    this.settings = settings;
    gracePeriod = settings.gracePeriod();
    retryBudget = settings.createRetryBudget(this::liveInstanceCount, System.nanoTime());
    String incarnation = settings.instanceId() + "/" + UUID.randomUUID().toString().substring(0, 8);
    adapters =
        factory
            .create(clients.control(), settings, statements::heardByControl)
            .containing(failures);
    configuration =
        ConfigurationReads.of(settings, adapters, this::isLargeFleet, this::announceLocalState);
    membership = Membership.ofRelayedHeartbeats();
    registry = InstanceRegistry.of(settings, adapters.table(), this::linkAddress);
    endpoints =
        EndpointPools.create(
            settings, this::liveInstanceCount, departures, limits, configuration, metrics);
    CrashRegistry crashes = new CrashRegistry(incarnation, InstantSource.system());
    crashDetector =
        new CrashDetector(
            crashes, reach.probe(commandExecutor, adapters.control(), this::endpointDown));
    ArtifactDemand demand = new ArtifactDemand(this::announceDemand);
    FleetDemand fleetDemand = new FleetDemand();
    quotas = QuotaKeeper.create(this::fleet, configuration::routes, settings.quotaBounds());
    origins =
        RecordedOrigins.of(
            adapters.streams(),
            commandExecutor,
            this::isLeaseHeld,
            configuration,
            System::nanoTime);
    reach.initialize(
        settings, endpoints, adapters.control(), commandExecutor, registry, this::callerAddress);
    calls = new CallRegistry(createCallContext(demand), ThreadLocalRandom.current());
    peerState = createPeerState(crashes, demand, fleetDemand);
    lease =
        CommandLeaseManager.of(
            incarnation,
            settings.leaseDuration(),
            adapters.table(),
            peerState::isLeaseHolderAlive,
            failures);
    residency = createResidencyController(fleetDemand);
    directory = createDirectoryReads();
    links = createLinks(incarnation);
    peerState.initialize(
        lease, residency.changeLog(), calls::endpointsChanged, this::onDemandChanged);
    callerHandler =
        new GatewayHandler(
            calls,
            adapters.protocol(),
            configuration::maximumBodyBytes,
            () -> stopping,
            ticks::wake);
    ReadinessHandler readiness = new ReadinessHandler(this::isReady);
    servers = new GatewayServers(settings, transport, callerHandler, readiness, metrics);
  }

  /** Returns an instance that is not started yet. */
  public static GatewayInstance create(GatewaySettings settings, PlatformAdapters.Factory factory) {
    return new GatewayInstance(settings, factory);
  }

  private FleetView fleet(long nowNanos) {
    return FleetMembers.view(
        settings.instanceId(), membership.peers(nowNanos), registry.lastInstances());
  }

  private PeerStateExchange createPeerState(
      CrashRegistry crashes, ArtifactDemand demand, FleetDemand fleetDemand) {
    return new PeerStateExchange(
        settings.instanceId(),
        membership,
        crashes,
        demand,
        fleetDemand,
        endpoints,
        departures,
        limits,
        System::nanoTime);
  }

  private PeerLinks createLinks(String incarnation) {
    return new PeerLinks(
        settings.peers(),
        new PeerIdentity(settings.instanceId(), incarnation),
        registry,
        peerState,
        peerState,
        metrics.counter("link_frames_rejected"));
  }

  private CallContext createCallContext(ArtifactDemand demand) {
    return new CallContext(
        adapters.protocol(),
        clients.connector(),
        endpoints,
        statements,
        retryBudget,
        demand,
        crashDetector,
        reach.calls(),
        configuration::routes,
        configuration.keys(),
        origins,
        quotas,
        ResponseMemory.ofHeap(),
        new CallMetrics(metrics),
        System::nanoTime);
  }

  private ResidencyController createResidencyController(FleetDemand fleetDemand) {
    return ResidencyController.builder()
        .lease(lease)
        .control(adapters.control())
        .demand(fleetDemand)
        .routes(configuration::routes)
        .holder(settings.instanceId())
        .executor(commandExecutor)
        .nanoClock(System::nanoTime)
        .onChange(this::announceResidency)
        .health(new PoolEndpointHealth(endpoints, System::nanoTime))
        .ceilingWindowSeconds(settings.loadLimitWindow().toSeconds())
        .build();
  }

  private DirectoryReads createDirectoryReads() {
    return new DirectoryReads(
        adapters.directory(),
        departures,
        new DirectoryPace(lease::isHeld, residency::isAwaitingEndpoints, this::isLargeFleet),
        lease::isHeld,
        configuration::routes,
        new EndpointChanges(
            endpoints,
            reach,
            origins,
            crashDetector,
            residency,
            departures,
            calls,
            this::announceLocalState,
            failures),
        System::nanoTime);
  }

  private String callerAddress() {
    return HttpAddresses.format(settings.callerAddress(), callerPort());
  }

  private String linkAddress() {
    return HttpAddresses.format(links.address());
  }

  private void endpointDown(EndpointIdentity endpoint, long nowNanos) {
    crashDetector.endpointDown(endpoint, nowNanos);
  }

  private int liveInstanceCount() {
    return membership.instanceCount(System.nanoTime());
  }

  private boolean isLargeFleet() {
    return !PeerLinks.isMesh(liveInstanceCount());
  }

  private boolean isLeaseHeld() {
    return lease.isHeld();
  }

  private boolean isReady() {
    return configuration.routes() != null && directory.isLoaded() && !stopping;
  }

  private void announceDemand() {
    announceLocalState();
    onDemandChanged();
  }

  private void onDemandChanged() {
    failures.contain("Engines could not be planned.", residency::tick);
  }

  private void announceResidency() {
    announceLocalState();
    calls.endpointsChanged();
  }

  private void announceLocalState() {
    failures.contain("Local state could not be applied.", peerState::applyLocalState);
    failures.contain("Heartbeats could not be sent.", links::sendHeartbeatsNow);
  }

  @Override
  public void start() {
    new InstanceGauges(metrics.registry())
        .ofInstance(calls, callerHandler, this::liveInstanceCount, links, configuration);
    quotas.start(new InstanceGauges(metrics.registry()), peerState);
    peerState.add(configuration);
    peerState.add(directory);
    peerState.add(reach.heartbeatPart());
    clients.start();
    servers.start();
    configuration.start();
    directory.start();
    links.start();
    lease.start();
    ticks.start();
    LOG.infof(
        "Started. instance=%s callers=%s readiness=%s metrics=%s store=%s",
        settings.instanceId(),
        callerAddress(),
        settings.readinessAddress(),
        HttpAddresses.format(settings.metricsAddress(), metricsPort()),
        settings.storeAddress());
  }

  /** Takes over the grace period and the limits of the retry budget from changed settings. */
  public void reload(GatewaySettings changed) {
    gracePeriod = changed.gracePeriod();
    retryBudget.updateLimits(
        changed.retryRatio(), changed.retryReserve(), changed.retryWindow().toNanos());
  }

  private boolean needsFrequentTicks() {
    return calls.size() > 0 || lease.isHeld();
  }

  private void tick() {
    failures.contain("Reach could not be decided.", () -> reach.tick(this::onReachChanged));
    calls.tick();
    directory.checkDue();
    configuration.checkDue();
    if (lease.isHeld()) {
      failures.contain("Local state could not be applied.", peerState::applyLocalState);
      onDemandChanged();
    }
    if (lease.consumeSurrendered()
        | statements.takeNews()
        | peerState.hasLoadNews()
        | quotas.takeNews()) {
      links.sendHeartbeatsNow();
    }
  }

  private void onReachChanged(boolean cutOff) {
    lease.setSuspended(cutOff);
    links.sendHeartbeatsNow();
    calls.endpointsChanged();
  }

  @Override
  public void stop() {
    LOG.infof(
        "Stopping. calls=%d requests=%d grace-period-s=%d",
        calls.size(), callerHandler.requestsInProgress(), gracePeriod.toSeconds());
    long startNanos = System.nanoTime();
    stopping = true;
    peerState.setLeaving();
    lease.release();
    links.sendHeartbeatsNow();
    Thread.ofVirtual().name("leave").start(registry::deregister);
    new GracefulDrain(
            calls,
            callerHandler::requestsInProgress,
            servers::stopAcceptingCallers,
            System::nanoTime,
            GracefulDrain::sleep)
        .run(startNanos, gracePeriod);
    calls.logUnfinished();
    LOG.infof(
        "Drained. calls=%d requests=%d stopping-ms=%d",
        calls.size(), callerHandler.requestsInProgress(), millisecondsSince(startNanos));
    stopPolling();
    LOG.infof("Stopped. stopping-ms=%d", millisecondsSince(startNanos));
  }

  private static long millisecondsSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private void stopPolling() {
    configuration.stop();
    directory.stop();
    lease.stop();
    ticks.stop();
  }

  /** Stops polling, links, servers and clients at once, without draining calls. */
  public void halt() {
    stopPolling();
    links.stop();
    servers.stop();
    clients.stop();
  }

  /** Returns the port that callers connect to. */
  public int callerPort() {
    return servers.callerPort();
  }

  /** Returns the port that serves metrics. */
  public int metricsPort() {
    return servers.metricsPort();
  }
}
