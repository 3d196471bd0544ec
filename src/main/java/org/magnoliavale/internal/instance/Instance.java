package org.magnoliavale.internal.instance;

import com.codahale.metrics.Gauge;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.jboss.logging.Logger;
import org.magnoliavale.Service;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.ReportProbe;
import org.magnoliavale.internal.control.ControlCore;
import org.magnoliavale.internal.control.ControlEvent;
import org.magnoliavale.internal.control.ControlLoop;
import org.magnoliavale.internal.control.ControlOptions;
import org.magnoliavale.internal.control.ReportPoller;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentFollower;
import org.magnoliavale.internal.document.DocumentHolder;
import org.magnoliavale.internal.document.DocumentStore;
import org.magnoliavale.internal.engine.EngineControl;
import org.magnoliavale.internal.engine.HttpEngineControl;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerIdentity;
import org.magnoliavale.internal.link.PeerLinks;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.operator.DocumentCalls;
import org.magnoliavale.internal.operator.OperatorHandler;
import org.magnoliavale.internal.operator.StatusSource;
import org.magnoliavale.internal.order.ClaimTable;
import org.magnoliavale.internal.order.ClaimingOrderDesk;
import org.magnoliavale.internal.placement.Planner;
import org.magnoliavale.internal.platform.BudgetedTable;
import org.magnoliavale.internal.platform.HttpPlatform;
import org.magnoliavale.internal.platform.InstanceList;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.routing.EndpointLoads;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingSnapshot;
import org.magnoliavale.internal.routing.SnapshotBuilder;
import org.magnoliavale.internal.settings.Settings;
import org.magnoliavale.internal.traffic.AtMostOnceForwarder;
import org.magnoliavale.internal.traffic.CallerHandler;
import org.magnoliavale.internal.traffic.DemandCounter;
import org.magnoliavale.internal.traffic.EndpointClient;
import org.magnoliavale.internal.traffic.EndpointSelector;
import org.magnoliavale.internal.traffic.Forwarder;
import org.magnoliavale.internal.traffic.HealthChecks;
import org.magnoliavale.internal.traffic.RequestLimiter;
import org.magnoliavale.internal.traffic.RetryBudget;
import org.magnoliavale.internal.traffic.RoutingDecisionHistory;

/** One instance: puts its parts together, starts them, and stops them gracefully. */
public final class Instance implements Service, StatusSource {
  private static final Logger LOG = Logs.of("instance");
  private static final int CONTROL_CONNECTIONS = 64;
  private static final Duration ENGINE_CONTROL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration DEMAND_INTERVAL = Duration.ofSeconds(1);

  private final Settings settings;
  private final InstantSource clock;
  private final String incarnation;
  private final HttpClient controlClient;
  private final EndpointClient endpointClient;
  private final ClaimTable claims;
  private final DocumentHolder documents = DocumentHolder.create();
  private final DocumentFollower follower;
  private final EndpointLoads loads = new EndpointLoads();
  private final SnapshotBuilder snapshots;
  private final ControlLoop control;
  private final ReportPoller poller;
  private final DemandCounter demand = new DemandCounter();
  private final RequestLimiter gate;
  private final HealthChecks readiness = new HealthChecks();
  private final Server callerServer;
  private final Server operatorServer;
  private final InstanceMetrics metrics = new InstanceMetrics();
  private final Membership membership;
  private final CrashRegistry crashes;
  private final PeerExchange exchange;
  private final PeerLinks links;
  private volatile RoutingSnapshot snapshot = RoutingSnapshot.EMPTY;
  private volatile boolean stopped;
  private int callerPort;
  private int operatorPort;

  private Instance(InstanceOptions options) {
    settings = options.settings();
    clock = options.clock();
    incarnation = settings.instance().id() + "/" + UUID.randomUUID().toString().substring(0, 8);
    membership = new Membership(settings.peer().silenceTimeout());
    controlClient =
        HttpClients.create(
            "control",
            CONTROL_CONNECTIONS,
            settings.engine().connectTimeout(),
            settings.engine().idleConnection());
    JsonClient json = JsonClient.of(controlClient);
    HttpPlatform platform =
        HttpPlatform.of(json, settings.platform().address(), settings.platform().timeout());
    Table table =
        new BudgetedTable(
            platform,
            settings.platform().fleetReadsPerSecond(),
            settings.platform().fleetWritesPerSecond(),
            this::liveInstances,
            System::nanoTime);
    DocumentStore store = DocumentStore.of(table, clock);
    follower =
        new DocumentFollower(
            store, documents, settings.platform().documentPoll(), this::liveInstances);
    EngineControl engines = HttpEngineControl.of(json, ENGINE_CONTROL_TIMEOUT);
    snapshots = new SnapshotBuilder(loads, settings.instance().dataCentre());
    control =
        new ControlLoop(
            new ControlCore(controlOptions(), newRandom()),
            table,
            engines,
            clock,
            view -> snapshot = snapshots.build(view));
    poller = new ReportPoller(engines, loads, control, clock, settings.engine().reportInterval());
    endpointClient = EndpointClient.of(settings.engine());
    claims = ClaimTable.of(table);
    gate = new RequestLimiter(settings.caller().maximumRequests());
    RoutingDecisionHistory decisions = new RoutingDecisionHistory();
    EndpointSelector routing =
        new EndpointSelector(
            Router.of(options.routingPolicy()),
            () -> snapshot,
            ThreadLocalRandom::current,
            decisions);
    crashes = new CrashRegistry(incarnation, clock);
    CrashGuard guard = new CrashGuard(crashes, new ReportProbe(engines));
    Forwarder forwarder =
        new Forwarder(endpointClient, settings.engine(), routing, new RetryBudget(), guard);
    exchange = new PeerExchange(documents, membership, crashes, this::someoneLeaves);
    links = peerLinks(platform);
    callerServer = callerServer(forwarder);
    operatorServer = operatorServer(store, decisions);
    documents.addListener(this::documentInForce);
    registerMetrics();
  }

  /** Returns an instance that is not started yet. */
  public static Instance create(InstanceOptions options) {
    return new Instance(options);
  }

  private ControlOptions controlOptions() {
    LeaseTimes times = LeaseTimes.of(settings.platform().lease(), settings.platform().clockDrift());
    return new ControlOptions(
        incarnation, times, settings.platform().clockDrift().toMillis(), new Planner());
  }

  private static RandomGenerator newRandom() {
    return RandomGeneratorFactory.of("L64X128MixRandom").create();
  }

  private Server callerServer(Forwarder forwarder) {
    AtMostOnceForwarder orders =
        new ClaimingOrderDesk(
            claims,
            endpointClient,
            forwarder.endpointSelector(),
            clock,
            settings.engine().maximumAnswerBytes());
    return HttpServers.create(
        "caller",
        settings.caller().address(),
        settings.caller().maximumHeaderBytes(),
        settings.caller().idleTimeout(),
        new CallerHandler(settings.caller(), forwarder, orders, demand, gate, readiness));
  }

  private Server operatorServer(DocumentStore store, RoutingDecisionHistory decisions) {
    DocumentCalls calls =
        new DocumentCalls(store, documents, settings.operator().administratorTokenHash());
    return HttpServers.create(
        "operator",
        settings.operator().address(),
        settings.caller().maximumHeaderBytes(),
        settings.caller().idleTimeout(),
        new OperatorHandler(calls, metrics, decisions, crashes, this));
  }

  private PeerLinks peerLinks(InstanceList list) {
    return new PeerLinks(
        settings.peer(),
        new PeerIdentity(settings.instance().id().value(), incarnation),
        list,
        exchange,
        exchange,
        metrics.counter("link_frames_rejected"));
  }

  private void registerMetrics() {
    metrics.registry().register("requests_in_progress", (Gauge<Integer>) gate::inProgress);
    metrics.registry().register("document_version", (Gauge<Long>) documents::version);
    metrics.registry().register("link_bytes_sent", (Gauge<Long>) links::bytesSent);
    metrics.registry().register("control_backlog", (Gauge<Integer>) control::backlog);
  }

  private void documentInForce(Document document) {
    control.post(new ControlEvent.DocumentInForce(document));
    poller.follow(document);
    readiness.setReady(!stopped);
    links.announce();
  }

  private void someoneLeaves() {
    control.post(new ControlEvent.FleetChanged(liveInstances(), true));
  }

  private int liveInstances() {
    return membership.instances(System.nanoTime());
  }

  @Override
  public void start() {
    HttpClients.start(controlClient);
    endpointClient.start();
    claims.start();
    control.start();
    operatorPort = HttpServers.start(operatorServer);
    callerPort = HttpServers.start(callerServer);
    poller.start();
    links.start();
    follower.start();
    Thread.ofVirtual().name("demand").start(this::demandLoop);
    LOG.infof(
        "Started. incarnation=%s caller=%d operator=%d", incarnation, callerPort, operatorPort);
  }

  @Override
  public void stop() {
    LOG.infof("Stopping. requests=%d", gate.inProgress());
    stopped = true;
    readiness.setReady(false);
    exchange.setLeaving();
    links.announce();
    // Leases are handed over at once; routing goes on while requests finish.
    control.post(new ControlEvent.StopRequested());
    sleep(settings.caller().drainWait());
    gate.close();
    boolean finished = awaitRequests();
    LOG.infof("Drained. finished=%s", finished);
    follower.stop();
    control.stop();
    poller.stop();
    links.stop();
    HttpServers.stop(callerServer);
    HttpServers.stop(operatorServer);
    claims.stop();
    endpointClient.stop();
    HttpClients.stop(controlClient);
    LOG.info("Stopped.");
  }

  private boolean awaitRequests() {
    try {
      return gate.awaitIdle(settings.caller().drainTimeout());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void demandLoop() {
    while (!stopped) {
      sleep(DEMAND_INTERVAL);
      TreeMap<ModelId, Double> rates = new TreeMap<>();
      double seconds = DEMAND_INTERVAL.toMillis() / 1_000.0;
      demand.drain().forEach((model, count) -> rates.put(model, count / seconds));
      exchange.setDemand(rates);
      membership
          .demand(System.nanoTime())
          .forEach((model, rate) -> rates.merge(model, rate, Double::sum));
      control.post(new ControlEvent.DemandMeasured(rates));
      control.post(new ControlEvent.FleetChanged(liveInstances(), false));
    }
  }

  private static void sleep(Duration duration) {
    try {
      Thread.sleep(duration);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return callerPort;
  }

  /** Returns the port for operators. */
  public int operatorPort() {
    return operatorPort;
  }

  @Override
  public Object status() {
    List<String> held =
        control.query(
            core -> core.heldPools(clock.millis()).stream().map(Object::toString).toList());
    return new InstanceStatus(
        incarnation,
        documents.version(),
        readiness.isReady(),
        gate.inProgress(),
        snapshot.instances(),
        held);
  }

  @Override
  public Object placement() {
    return PlacementStatus.of(snapshot);
  }
}
