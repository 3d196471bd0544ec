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
import org.magnoliavale.internal.lease.LeaseKeeper;
import org.magnoliavale.internal.placement.DemandForecast;
import org.magnoliavale.internal.routing.ResidencyView;

/**
 * The control state of one instance. An event and the time go in, actions come out; it does no I/O,
 * reads no clock, and takes its random generator from outside. Not thread-safe: one thread owns it.
 *
 * <pre>{@code
 * ControlCore core = new ControlCore(options, random);
 * List<ControlAction> actions = core.handle(new ControlEvent.Tick(), clock.millis());
 * }</pre>
 */
public final class ControlCore {
  private final ControlOptions options;
  private final RandomGenerator random;
  private final Reports reports = new Reports();
  private final DemandForecast forecast = new DemandForecast();
  private final LeavingEndpoints leaving = new LeavingEndpoints();
  private final Map<PoolId, PlacementGroup> groups = new TreeMap<>();
  private Document document = Document.EMPTY;
  private int instances = 1;
  private boolean stopping;
  private ResidencyView published;

  /** Returns a core that knows nothing yet. */
  public ControlCore(ControlOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
  }

  /** Takes in an event that happened at {@code nowMs} and returns what is to be done. */
  public List<ControlAction> handle(ControlEvent event, long nowMs) {
    List<ControlAction> actions = new ArrayList<>();
    boolean residencyMayDiffer = apply(event, nowMs, actions);
    for (PlacementGroup group : groups.values()) {
      group.advance(nowMs, actions);
    }
    if (residencyMayDiffer) {
      publish(nowMs, actions);
    }
    return actions;
  }

  private boolean apply(ControlEvent event, long nowMs, List<ControlAction> actions) {
    switch (event) {
      case ControlEvent.Tick() -> {
        // Only the grace of leaving endpoints ends by time alone.
        return leaving.any();
      }
      case ControlEvent.DocumentInForce(Document newDocument) -> {
        install(newDocument);
        return true;
      }
      case ControlEvent.ReportRead(var endpoint, var report, long askedAtMs) -> {
        return reports.read(endpoint, report, askedAtMs);
      }
      case ControlEvent.ReportMissed(EndpointId endpoint) -> {
        boolean lost = reports.missed(endpoint);
        if (lost) {
          actions.add(
              new ControlAction.Log("endpoint", "Endpoint unreachable. endpoint=" + endpoint));
        }
        return lost;
      }
      case ControlEvent.TableAnswered(PoolId pool, var kind, var answer) -> {
        PlacementGroup group = groups.get(pool);
        if (group != null) {
          switch (kind) {
            case LEASE -> group.leaseAnswered(answer, nowMs, actions);
            case LEDGER -> group.ledgerAnswered(answer, nowMs, actions);
          }
        }
        // A ledger tells what is on its way out, which is not routed to.
        return kind == ControlEvent.CallKind.LEDGER;
      }
      case ControlEvent.OrderAnswered(var pool, var endpoint, var transmission, var answer) -> {
        PlacementGroup group = groups.get(pool);
        if (group != null) {
          group.orderAnswered(endpoint, transmission, answer, actions);
        }
        return false;
      }
      case ControlEvent.DemandMeasured(var requestsPerSecond) -> {
        forecast.measured(requestsPerSecond);
        groups.values().forEach(group -> group.setDemand(forecast));
        return false;
      }
      case ControlEvent.FleetChanged(int newInstances, boolean someoneLeaves) -> {
        instances = newInstances;
        if (someoneLeaves) {
          groups.values().forEach(group -> group.lease().hurry());
        }
        return true;
      }
      case ControlEvent.StopRequested() -> {
        stopping = true;
        groups.values().forEach(group -> group.lease().stopWanting());
        return false;
      }
    }
  }

  private void install(Document newDocument) {
    if (newDocument.version() <= document.version()) {
      return;
    }
    document = newDocument;
    groups.keySet().removeIf(pool -> !document.pools().containsKey(pool));
    for (Pool pool : document.pools().values()) {
      if (pool.enginePool() && !groups.containsKey(pool.id())) {
        groups.put(pool.id(), newGroup(pool.id()));
      }
    }
    groups.values().forEach(group -> group.setDocument(document));
    reports.retain(document.endpoints().keySet());
  }

  private PlacementGroup newGroup(PoolId pool) {
    LeaseKeeper lease = new LeaseKeeper(pool.value(), options.self(), options.lease(), random);
    if (stopping) {
      lease.stopWanting();
    }
    return new PlacementGroup(pool, options, lease, reports);
  }

  private void publish(long nowMs, List<ControlAction> actions) {
    Map<EndpointId, Set<ArtifactId>> ready = new HashMap<>();
    Set<ArtifactId> servedByStaying = new HashSet<>();
    for (Endpoint endpoint : document.endpoints().values()) {
      Set<ArtifactId> artifacts = servable(endpoint);
      if (!artifacts.isEmpty()) {
        ready.put(endpoint.id(), artifacts);
      }
      if (!endpoint.draining()) {
        servedByStaying.addAll(artifacts);
      }
    }
    leaving.keepOnlyUnserved(document, ready, servedByStaying, nowMs);
    ResidencyView view = new ResidencyView(document, ready, instances);
    if (!view.equals(published)) {
      published = view;
      actions.add(new ControlAction.Publish(view));
    }
  }

  private Set<ArtifactId> servable(Endpoint endpoint) {
    Set<ArtifactId> artifacts = new HashSet<>(reports.ready(endpoint.id()));
    PlacementGroup group = groups.get(endpoint.pool());
    if (group != null) {
      artifacts.removeAll(group.releasing(endpoint.id()));
    }
    return artifacts;
  }

  /** Returns the pools whose lease this instance holds now. */
  public List<PoolId> heldPools(long nowMs) {
    return groups.entrySet().stream()
        .filter(entry -> entry.getValue().lease().isHeld(nowMs))
        .map(Map.Entry::getKey)
        .toList();
  }
}
