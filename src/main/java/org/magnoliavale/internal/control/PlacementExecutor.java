package org.magnoliavale.internal.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.Ledger;
import org.magnoliavale.internal.ledger.LedgerEntry;
import org.magnoliavale.internal.ledger.Transmission;
import org.magnoliavale.internal.placement.DemandForecast;
import org.magnoliavale.internal.placement.EndpointSnapshot;
import org.magnoliavale.internal.placement.EndpointSnapshot.Occupancy;
import org.magnoliavale.internal.placement.EvictionProtection;
import org.magnoliavale.internal.placement.Move;
import org.magnoliavale.internal.placement.PlacementInput;
import org.magnoliavale.internal.placement.PlacementPolicy;

/**
 * Runs the placement policy periodically and turns its moves into ledger changes and commands,
 * within the pool's limits on concurrent loads and on their rate.
 */
final class PlacementExecutor {
  /**
   * Input of one placement round.
   *
   * @param document the document in force
   * @param pool the pool that is placed
   * @param rows the pool's ledgers
   * @param reports the engines' reports
   * @param commands the commands in flight
   * @param demand demand forecast by model
   */
  record Context(
      Document document,
      Pool pool,
      Map<EndpointId, LedgerRow> rows,
      EngineReports reports,
      CommandTracker commands,
      DemandForecast demand) {}

  private static final double TOKENS_PER_REQUEST = 64;
  private static final long ROUND_INTERVAL_MS = 1_000;

  /** Declined moves that are remembered so that each is logged only once. */
  private static final int MAXIMUM_REMEMBERED_DECLINES = 256;

  private final PlacementPolicy policy;
  private final LoadRateLimiter rateLimiter;
  private final Set<String> loggedDeclines = new HashSet<>();
  private final EvictionProtection protection = new EvictionProtection();
  private long nextRoundMs;

  PlacementExecutor(PlacementPolicy policy, LoadRateLimiter rateLimiter) {
    this.policy = policy;
    this.rateLimiter = rateLimiter;
  }

  void run(
      Context context,
      TransmissionFactory transmissions,
      LedgerChanges changes,
      List<ControlAction> actions) {
    if (!context.pool().enginePool() || transmissions.nowMs() < nextRoundMs) {
      return;
    }
    PlacementInput input = input(context, transmissions.nowMs());
    if (input.endpoints().stream().noneMatch(EndpointSnapshot::usable)) {
      // Without a usable endpoint, a round would decline every move.
      return;
    }
    nextRoundMs = transmissions.nowMs() + ROUND_INTERVAL_MS;
    List<Move> moves = policy.plan(input);
    LoadsInProgress inProgress = LoadsInProgress.of(context.rows().values());
    for (Move move : moves) {
      switch (move) {
        case Move.Load load -> load(context, load, inProgress, transmissions, changes, actions);
        case Move.Unload unload -> unload(context, unload, transmissions, changes, actions);
        case Move.Declined declined -> logDeclined(declined, actions);
      }
    }
  }

  private PlacementInput input(Context context, long nowMs) {
    List<EndpointSnapshot> endpoints = new ArrayList<>();
    for (Endpoint endpoint : context.document().endpointsOf(context.pool().id())) {
      LedgerRow row = context.rows().get(endpoint.id());
      if (row != null) {
        endpoints.add(snapshot(context, endpoint, row.ledger(), nowMs));
      }
    }
    return new PlacementInput(
        context.pool(),
        context.document().modelsOf(context.pool().id()),
        endpoints,
        context.demand().current(),
        context.demand().typical(),
        TOKENS_PER_REQUEST);
  }

  private EndpointSnapshot snapshot(Context context, Endpoint endpoint, Ledger ledger, long nowMs) {
    Set<ArtifactId> ready = context.reports().ready(endpoint.id());
    Map<ArtifactId, Occupancy> artifacts = new HashMap<>();
    for (LedgerEntry entry : ledger.entries()) {
      Occupancy occupancy =
          entry.state() == EntryState.RELEASING
              ? Occupancy.UNLOADING
              : ready.contains(entry.id())
                  ? protection.occupancyOf(endpoint.id(), entry.id(), nowMs)
                  : Occupancy.LOADING;
      artifacts.put(entry.id(), occupancy);
    }
    protection.retain(endpoint.id(), artifacts.keySet());
    boolean usable = !endpoint.draining() && context.reports().isReachable(endpoint.id());
    return new EndpointSnapshot(endpoint, usable, ledger.freeBytes(), artifacts);
  }

  private void load(
      Context context,
      Move.Load load,
      LoadsInProgress inProgress,
      TransmissionFactory transmissions,
      LedgerChanges changes,
      List<ControlAction> actions) {
    LedgerRow row = context.rows().get(load.endpoint());
    Ledger ledger = changes.ledger(load.endpoint(), row);
    boolean adapter = load.artifact().adapter() != null;
    boolean blocked =
        hasPendingCommand(context, load.endpoint(), transmissions, changes)
            || ledger.freeBytes() < load.bytes()
            || ledger.entry(load.artifact()).isPresent()
            || !inProgress.isBelowLimit(load.artifact(), context.pool());
    if (blocked || !adapter && !rateLimiter.tryAcquire(context.pool(), transmissions.nowMs())) {
      return;
    }
    inProgress.add(load.artifact());
    Transmission transmission = transmissions.next();
    changes.put(
        load.endpoint(),
        ledger.reserve(LedgerEntry.reserved(load.artifact(), load.bytes(), transmission)));
    changes.addCommand(
        context.document().endpoints().get(load.endpoint()),
        TransmissionFactory.command(
            EngineCommand.LOAD, load.artifact().toString(), load.bytes(), transmission));
    log(actions, "Load planned.", load.artifact(), load.endpoint(), load.reason());
  }

  private void unload(
      Context context,
      Move.Unload unload,
      TransmissionFactory transmissions,
      LedgerChanges changes,
      List<ControlAction> actions) {
    LedgerRow row = context.rows().get(unload.endpoint());
    Ledger ledger = changes.ledger(unload.endpoint(), row);
    var entry = ledger.entry(unload.artifact());
    boolean blocked =
        hasPendingCommand(context, unload.endpoint(), transmissions, changes)
            || entry.isEmpty()
            || entry.get().state() == EntryState.RELEASING;
    if (blocked) {
      return;
    }
    Transmission transmission = transmissions.next();
    changes.put(unload.endpoint(), ledger.with(entry.get().withUnload(transmission)));
    changes.addCommand(
        context.document().endpoints().get(unload.endpoint()),
        TransmissionFactory.command(
            EngineCommand.UNLOAD, unload.artifact().toString(), entry.get().bytes(), transmission));
    log(actions, "Unload planned.", unload.artifact(), unload.endpoint(), unload.reason());
  }

  private static boolean hasPendingCommand(
      Context context,
      EndpointId endpoint,
      TransmissionFactory transmissions,
      LedgerChanges changes) {
    return changes.hasCommandFor(endpoint)
        || context.commands().isAwaitingResult(endpoint, transmissions.nowMs());
  }

  private void logDeclined(Move.Declined declined, List<ControlAction> actions) {
    String key = declined.artifact() + " " + declined.reason();
    if (loggedDeclines.size() >= MAXIMUM_REMEMBERED_DECLINES) {
      loggedDeclines.clear();
    }
    if (loggedDeclines.add(key)) {
      actions.add(
          new ControlAction.Log(
              "placement",
              "Move declined. artifact=%s why=%s %s"
                  .formatted(declined.artifact(), declined.reason(), declined.detail())));
    }
  }

  private static void log(
      List<ControlAction> actions,
      String message,
      ArtifactId artifact,
      EndpointId endpoint,
      Move.Reason reason) {
    actions.add(
        new ControlAction.Log(
            "placement",
            "%s artifact=%s endpoint=%s why=%s".formatted(message, artifact, endpoint, reason)));
  }
}
