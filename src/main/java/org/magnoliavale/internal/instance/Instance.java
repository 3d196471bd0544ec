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
import org.magnoliavale.internal.containment.ReportCrashProbe;
import org.magnoliavale.internal.control.ControlCore;
import org.magnoliavale.internal.control.ControlEvent;
import org.magnoliavale.internal.control.ControlLoop;
import org.magnoliavale.internal.control.ControlOptions;
import org.magnoliavale.internal.control.ReportPoller;
import org.magnoliavale.internal.document.ActiveDocument;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentPoller;
import org.magnoliavale.internal.document.DocumentStore;
import org.magnoliavale.internal.engine.EngineClient;
import org.magnoliavale.internal.engine.HttpEngineClient;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.idempotency.AtMostOnceExecutor;
import org.magnoliavale.internal.idempotency.ClaimWriter;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerIdentity;
import org.magnoliavale.internal.link.PeerLinks;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.operator.DocumentApi;
import org.magnoliavale.internal.operator.OperatorHandler;
import org.magnoliavale.internal.operator.StatusSource;
import org.magnoliavale.internal.placement.Planner;
import org.magnoliavale.internal.platform.HttpPlatform;
import org.magnoliavale.internal.platform.InstanceList;
import org.magnoliavale.internal.platform.RateLimitedTable;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.routing.EndpointLoadRegistry;
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

/**
 * One instance: creates and connects its parts, starts them and stops them gracefully.
 *
 * <p>{@link #start} opens the ports; the instance becomes ready once a document is active. {@link
 * #stop} blocks: it reports the instance as not ready, tells the peers that it is leaving, releases
 * its leases, waits for the drain delay, rejects new requests, and waits for requests in progress
 * up to the drain timeout before it closes the servers.
 *
 * <p>Requests run on virtual threads, placement decisions on the control thread, and peer traffic
 * on the links' event loop. A failure to start a server or client is thrown as an {@link
 * IllegalStateException}.
 */
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
  private final ClaimWriter claimWriter;
  private final ActiveDocument activeDocument = ActiveDocument.create();
  private final DocumentPoller documentPoller;
  private final EndpointLoadRegistry endpointLoads = new EndpointLoadRegistry();
  private final SnapshotBuilder snapshotBuilder;
  private final ControlLoop control;
  private final ReportPoller reportPoller;
  private final DemandCounter demand = new DemandCounter();
  private final RequestLimiter requestLimiter;
  private final HealthChecks healthChecks = new HealthChecks();
  private final Server callerServer;
  private final Server operatorServer;
  private final InstanceMetrics metrics = new InstanceMetrics();
  private final Membership membership;
  private final CrashRegistry crashes;
  private final PeerExchange peerExchange;
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
            settings.engine().idleConnectionTimeout());
    JsonClient json = JsonClient.of(controlClient);
    HttpPlatform platform =
        HttpPlatform.of(json, settings.platform().address(), settings.platform().timeout());
    Table table =
        new RateLimitedTable(
            platform,
            settings.platform().fleetReadsPerSecond(),
            settings.platform().fleetWritesPerSecond(),
            this::liveInstances,
            System::nanoTime);
    DocumentStore store = DocumentStore.of(table, clock);
    documentPoller =
        new DocumentPoller(
            store, activeDocument, settings.platform().documentPollInterval(), this::liveInstances);
    EngineClient engines = HttpEngineClient.of(json, ENGINE_CONTROL_TIMEOUT);
    snapshotBuilder = new SnapshotBuilder(endpointLoads, settings.instance().dataCentre());
    control =
        new ControlLoop(
            new ControlCore(controlOptions(), newRandom()),
            table,
            engines,
            clock,
            view -> snapshot = snapshotBuilder.build(view));
    reportPoller =
        new ReportPoller(
            engines, endpointLoads, control, clock, settings.engine().reportInterval());
    endpointClient = EndpointClient.of(settings.engine());
    claimWriter = ClaimWriter.of(table);
    requestLimiter = new RequestLimiter(settings.caller().maximumRequests());
    RoutingDecisionHistory decisions = new RoutingDecisionHistory();
    EndpointSelector endpointSelector =
        new EndpointSelector(
            Router.of(options.routingPolicy()),
            () -> snapshot,
            ThreadLocalRandom::current,
            decisions);
    crashes = new CrashRegistry(incarnation, clock);
    CrashGuard guard = new CrashGuard(crashes, new ReportCrashProbe(engines));
    Forwarder forwarder =
        new Forwarder(
            endpointClient, settings.engine(), endpointSelector, new RetryBudget(), guard);
    peerExchange = new PeerExchange(activeDocument, membership, crashes, this::onPeerLeaving);
    links = peerLinks(platform);
    callerServer = callerServer(forwarder);
    operatorServer = operatorServer(store, decisions);
    activeDocument.addListener(this::onDocumentActivated);
    registerMetrics();
  }

  /** Returns an instance that is not started yet. */
  public static Instance create(InstanceOptions options) {
    return new Instance(options);
  }

  private ControlOptions controlOptions() {
    LeaseTimes times =
        LeaseTimes.of(settings.platform().leaseDuration(), settings.platform().clockDrift());
    return new ControlOptions(
        incarnation, times, settings.platform().clockDrift().toMillis(), new Planner());
  }

  private static RandomGenerator newRandom() {
    return RandomGeneratorFactory.of("L64X128MixRandom").create();
  }

  private Server callerServer(Forwarder forwarder) {
    AtMostOnceForwarder atMostOnceForwarder =
        new AtMostOnceExecutor(
            claimWriter,
            endpointClient,
            forwarder.endpointSelector(),
            clock,
            settings.engine().maximumResponseBytes());
    return HttpServers.create(
        "caller",
        settings.caller().address(),
        settings.caller().maximumHeaderBytes(),
        settings.caller().idleTimeout(),
        new CallerHandler(
            settings.caller(),
            forwarder,
            atMostOnceForwarder,
            demand,
            requestLimiter,
            healthChecks));
  }

  private Server operatorServer(DocumentStore store, RoutingDecisionHistory decisions) {
    DocumentApi documentApi =
        new DocumentApi(store, activeDocument, settings.operator().administratorTokenHash());
    return HttpServers.create(
        "operator",
        settings.operator().address(),
        settings.caller().maximumHeaderBytes(),
        settings.caller().idleTimeout(),
        new OperatorHandler(documentApi, metrics, decisions, crashes, this));
  }

  private PeerLinks peerLinks(InstanceList list) {
    return new PeerLinks(
        settings.peer(),
        new PeerIdentity(settings.instance().id().value(), incarnation),
        list,
        peerExchange,
        peerExchange,
        metrics.counter("link_frames_rejected"));
  }

  private void registerMetrics() {
    metrics
        .registry()
        .register("requests_in_progress", (Gauge<Integer>) requestLimiter::inProgress);
    metrics.registry().register("document_version", (Gauge<Long>) activeDocument::version);
    metrics.registry().register("link_bytes_sent", (Gauge<Long>) links::bytesSent);
    metrics.registry().register("control_backlog", (Gauge<Integer>) control::backlog);
  }

  private void onDocumentActivated(Document document) {
    control.post(new ControlEvent.DocumentInForce(document));
    reportPoller.setDocument(document);
    healthChecks.setReady(!stopped);
    links.sendHeartbeatsNow();
  }

  private void onPeerLeaving() {
    control.post(new ControlEvent.FleetChanged(liveInstances(), true));
  }

  private int liveInstances() {
    return membership.instanceCount(System.nanoTime());
  }

  @Override
  public void start() {
    HttpClients.start(controlClient);
    endpointClient.start();
    claimWriter.start();
    control.start();
    operatorPort = HttpServers.start(operatorServer);
    callerPort = HttpServers.start(callerServer);
    reportPoller.start();
    links.start();
    documentPoller.start();
    Thread.ofVirtual().name("demand").start(this::demandLoop);
    LOG.infof(
        "Started. incarnation=%s caller=%d operator=%d", incarnation, callerPort, operatorPort);
  }

  @Override
  public void stop() {
    LOG.infof("Stopping. requests=%d", requestLimiter.inProgress());
    stopped = true;
    healthChecks.setReady(false);
    peerExchange.setLeaving();
    links.sendHeartbeatsNow();
    // Releases the leases now, so that a peer takes over placement while requests finish here.
    control.post(new ControlEvent.StopRequested());
    sleep(settings.caller().drainDelay());
    requestLimiter.close();
    boolean finished = awaitRequests();
    LOG.infof("Drained. finished=%s", finished);
    documentPoller.stop();
    control.stop();
    reportPoller.stop();
    links.stop();
    HttpServers.stop(callerServer);
    HttpServers.stop(operatorServer);
    claimWriter.stop();
    endpointClient.stop();
    HttpClients.stop(controlClient);
    LOG.info("Stopped.");
  }

  private boolean awaitRequests() {
    try {
      return requestLimiter.awaitIdle(settings.caller().drainTimeout());
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
      peerExchange.setDemand(rates);
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

  /** Returns the port that serves callers; 0 before the start. */
  public int callerPort() {
    return callerPort;
  }

  /** Returns the port that serves operators; 0 before the start. */
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
        activeDocument.version(),
        healthChecks.isReady(),
        requestLimiter.inProgress(),
        snapshot.instances(),
        held);
  }

  @Override
  public Object placement() {
    return PlacementStatus.of(snapshot);
  }
}
