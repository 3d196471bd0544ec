package org.magnoliavale.internal.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.placement.DemandForecast;
import org.magnoliavale.internal.routing.ResidencyView;

/**
 * The control state of one instance, as a deterministic state machine: {@link #handle} takes an
 * event and the current time, and returns the actions to perform. It does no I/O, reads no clock,
 * and uses only the random generator that it is given.
 *
 * <p>It keeps one {@link PoolController} for each engine pool of the document in force, starting
 * with the first document; a pool that the document no longer has is dropped. Every event advances
 * all pools, so a {@link ControlEvent.Tick} must arrive regularly. Times are in milliseconds since
 * 1970. The outcome of an action arrives as an event, also when it failed; {@link #handle} throws
 * {@link IllegalStateException} if a stored ledger is malformed.
 *
 * <p>Not thread-safe: {@link ControlLoop} calls it from a single thread.
 *
 * <pre>{@code
 * ControlCore core = new ControlCore(options, random);
 * List<ControlAction> actions = core.handle(new ControlEvent.Tick(), clock.millis());
 * }</pre>
 */
public final class ControlCore {
  private final ControlOptions options;
  private final RandomGenerator random;
  private final EngineReports reports = new EngineReports();
  private final DemandForecast forecast = new DemandForecast();
  private final DrainingEndpoints draining = new DrainingEndpoints();
  private final Map<PoolId, PoolController> controllers = new TreeMap<>();
  private Document document = Document.EMPTY;
  private int instances = 1;
  private boolean stopping;
  private ResidencyView publishedView;

  /** Returns a core without a document, reports or leases. */
  public ControlCore(ControlOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
  }

  /** Applies an event that happened at {@code nowMs} and returns the actions to perform. */
  public List<ControlAction> handle(ControlEvent event, long nowMs) {
    List<ControlAction> actions = new ArrayList<>();
    boolean residencyMayHaveChanged = apply(event, nowMs, actions);
    for (PoolController controller : controllers.values()) {
      controller.advance(nowMs, actions);
    }
    if (residencyMayHaveChanged) {
      publish(nowMs, actions);
    }
    return actions;
  }

  private boolean apply(ControlEvent event, long nowMs, List<ControlAction> actions) {
    switch (event) {
      case ControlEvent.Tick() -> {
        // Of the published view, only the grace period of draining endpoints depends on time alone.
        return draining.any();
      }
      case ControlEvent.DocumentInForce(Document newDocument) -> {
        install(newDocument);
        return true;
      }
      case ControlEvent.ReportReceived(var endpoint, var report, long requestedAtMs) -> {
        return reports.recordReport(endpoint, report, requestedAtMs);
      }
      case ControlEvent.ReportFailed(EndpointId endpoint) -> {
        boolean becameUnreachable = reports.recordFailure(endpoint);
        if (becameUnreachable) {
          actions.add(
              new ControlAction.Log("endpoint", "Endpoint unreachable. endpoint=" + endpoint));
        }
        return becameUnreachable;
      }
      case ControlEvent.TableCallCompleted(PoolId pool, var kind, var result) -> {
        PoolController controller = controllers.get(pool);
        if (controller != null) {
          switch (kind) {
            case LEASE -> controller.onLeaseResult(result, nowMs, actions);
            case LEDGER -> controller.onLedgerResult(result, nowMs, actions);
          }
        }
        // An artifact that the ledger marks as RELEASING is not routed to.
        return kind == ControlEvent.CallKind.LEDGER;
      }
      case ControlEvent.CommandCompleted(var pool, var endpoint, var transmission, var result) -> {
        PoolController controller = controllers.get(pool);
        if (controller != null) {
          controller.onCommandResult(endpoint, transmission, result, actions);
        }
        return false;
      }
      case ControlEvent.DemandMeasured(var requestsPerSecond) -> {
        forecast.addSample(requestsPerSecond);
        controllers.values().forEach(controller -> controller.setDemand(forecast));
        return false;
      }
      case ControlEvent.FleetChanged(int newInstances, boolean anotherInstanceLeaves) -> {
        instances = newInstances;
        if (anotherInstanceLeaves) {
          controllers.values().forEach(controller -> controller.lease().checkNow());
        }
        return true;
      }
      case ControlEvent.StopRequested() -> {
        stopping = true;
        controllers.values().forEach(controller -> controller.lease().resign());
        return false;
      }
    }
  }

  private void install(Document newDocument) {
    if (newDocument.version() <= document.version()) {
      return;
    }
    document = newDocument;
    controllers.keySet().removeIf(pool -> !document.pools().containsKey(pool));
    for (Pool pool : document.pools().values()) {
      if (pool.enginePool() && !controllers.containsKey(pool.id())) {
        controllers.put(pool.id(), newController(pool.id()));
      }
    }
    controllers.values().forEach(controller -> controller.setDocument(document));
    reports.retain(document.endpoints().keySet());
  }

  private PoolController newController(PoolId pool) {
    LeaseManager lease = new LeaseManager(pool.value(), options.self(), options.lease(), random);
    if (stopping) {
      lease.resign();
    }
    return new PoolController(pool, options, lease, reports);
  }

  private void publish(long nowMs, List<ControlAction> actions) {
    Map<EndpointId, Set<ArtifactId>> ready = new HashMap<>();
    Set<ArtifactId> readyOnRemainingEndpoints = new HashSet<>();
    for (Endpoint endpoint : document.endpoints().values()) {
      Set<ArtifactId> artifacts = servableArtifacts(endpoint);
      if (!artifacts.isEmpty()) {
        ready.put(endpoint.id(), artifacts);
      }
      if (!endpoint.draining()) {
        readyOnRemainingEndpoints.addAll(artifacts);
      }
    }
    draining.retainServable(document, ready, readyOnRemainingEndpoints, nowMs);
    ResidencyView view = new ResidencyView(document, ready, instances);
    if (!view.equals(publishedView)) {
      publishedView = view;
      actions.add(new ControlAction.Publish(view));
    }
  }

  private Set<ArtifactId> servableArtifacts(Endpoint endpoint) {
    Set<ArtifactId> artifacts = new HashSet<>(reports.ready(endpoint.id()));
    PoolController controller = controllers.get(endpoint.pool());
    if (controller != null) {
      artifacts.removeAll(controller.releasing(endpoint.id()));
    }
    return artifacts;
  }

  /** Returns the pools whose placement lease this instance holds at {@code nowMs}. */
  public List<PoolId> heldPools(long nowMs) {
    return controllers.entrySet().stream()
        .filter(entry -> entry.getValue().lease().isHeld(nowMs))
        .map(Map.Entry::getKey)
        .toList();
  }
}
