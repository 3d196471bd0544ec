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
import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.Ledger;
import org.magnoliavale.internal.ledger.LedgerEntry;
import org.magnoliavale.internal.ledger.Transmission;
import org.magnoliavale.internal.placement.DemandForecast;
import org.magnoliavale.internal.placement.Freshness;
import org.magnoliavale.internal.placement.Move;
import org.magnoliavale.internal.placement.PlacedEndpoint;
import org.magnoliavale.internal.placement.PlacedEndpoint.Occupancy;
import org.magnoliavale.internal.placement.PlacementInput;
import org.magnoliavale.internal.placement.PlacementPolicy;

/** Runs the placement policy over the ledgers and turns its moves into edits, within the limits. */
final class PlacementRound {
  /**
   * What a round looks at.
   *
   * @param document the document in force
   * @param pool the pool
   * @param rows the pool's ledgers
   * @param reports the engines' reports
   * @param orders the orders in flight
   * @param demand forecast of the demand
   */
  record Scene(
      Document document,
      Pool pool,
      Map<EndpointId, LedgerRow> rows,
      Reports reports,
      OrderBook orders,
      DemandForecast demand) {}

  private static final double TOKENS_PER_REQUEST = 64;
  private static final long ROUND_INTERVAL_MS = 1_000;

  /** Decisions against a move that were logged already are not logged again. */
  private static final int REMEMBERED_DECLINED = 256;

  private final PlacementPolicy policy;
  private final LoadAllowance allowance;
  private final Set<String> declinedBefore = new HashSet<>();
  private final Freshness freshness = new Freshness();
  private long nextRoundMs;

  PlacementRound(PlacementPolicy policy, LoadAllowance allowance) {
    this.policy = policy;
    this.allowance = allowance;
  }

  void run(Scene scene, TransmissionSource source, LedgerEdit edit, List<ControlAction> actions) {
    if (!scene.pool().enginePool() || source.nowMs() < nextRoundMs) {
      return;
    }
    PlacementInput input = input(scene, source.nowMs());
    if (input.endpoints().stream().noneMatch(PlacedEndpoint::usable)) {
      // Before the first reports a round could only decline everything.
      return;
    }
    nextRoundMs = source.nowMs() + ROUND_INTERVAL_MS;
    List<Move> moves = policy.plan(input);
    RunningLoads running = RunningLoads.of(scene.rows().values());
    for (Move move : moves) {
      switch (move) {
        case Move.Load load -> load(scene, load, running, source, edit, actions);
        case Move.Unload unload -> unload(scene, unload, source, edit, actions);
        case Move.Declined declined -> logDeclined(declined, actions);
      }
    }
  }

  private PlacementInput input(Scene scene, long nowMs) {
    List<PlacedEndpoint> endpoints = new ArrayList<>();
    for (Endpoint endpoint : scene.document().endpointsOf(scene.pool().id())) {
      LedgerRow row = scene.rows().get(endpoint.id());
      if (row != null) {
        endpoints.add(placed(scene, endpoint, row.ledger(), nowMs));
      }
    }
    return new PlacementInput(
        scene.pool(),
        scene.document().modelsOf(scene.pool().id()),
        endpoints,
        scene.demand().current(),
        scene.demand().typical(),
        TOKENS_PER_REQUEST);
  }

  private PlacedEndpoint placed(Scene scene, Endpoint endpoint, Ledger ledger, long nowMs) {
    Set<ArtifactId> ready = scene.reports().ready(endpoint.id());
    Map<ArtifactId, Occupancy> artifacts = new HashMap<>();
    for (LedgerEntry entry : ledger.entries()) {
      Occupancy occupancy =
          entry.state() == EntryState.RELEASING
              ? Occupancy.DEPARTING
              : ready.contains(entry.id())
                  ? freshness.of(endpoint.id(), entry.id(), nowMs)
                  : Occupancy.ARRIVING;
      artifacts.put(entry.id(), occupancy);
    }
    freshness.retain(endpoint.id(), artifacts.keySet());
    boolean usable = !endpoint.draining() && scene.reports().isReachable(endpoint.id());
    return new PlacedEndpoint(endpoint, usable, ledger.freeBytes(), artifacts);
  }

  private void load(
      Scene scene,
      Move.Load load,
      RunningLoads running,
      TransmissionSource source,
      LedgerEdit edit,
      List<ControlAction> actions) {
    LedgerRow row = scene.rows().get(load.endpoint());
    Ledger ledger = edit.ledger(load.endpoint(), row);
    boolean adapter = load.artifact().adapter() != null;
    boolean blocked =
        isBusy(scene, load.endpoint(), source, edit)
            || ledger.freeBytes() < load.bytes()
            || ledger.entry(load.artifact()).isPresent()
            || !running.hasRoom(load.artifact(), scene.pool());
    if (blocked || !adapter && !allowance.trySpend(scene.pool(), source.nowMs())) {
      return;
    }
    running.add(load.artifact());
    Transmission transmission = source.next();
    edit.put(
        load.endpoint(),
        ledger.reserve(LedgerEntry.reserved(load.artifact(), load.bytes(), transmission)));
    edit.send(
        scene.document().endpoints().get(load.endpoint()),
        TransmissionSource.order(
            EngineOrder.LOAD, load.artifact().toString(), load.bytes(), transmission));
    log(actions, "Load.", load.artifact(), load.endpoint(), load.reason());
  }

  private void unload(
      Scene scene,
      Move.Unload unload,
      TransmissionSource source,
      LedgerEdit edit,
      List<ControlAction> actions) {
    LedgerRow row = scene.rows().get(unload.endpoint());
    Ledger ledger = edit.ledger(unload.endpoint(), row);
    var entry = ledger.entry(unload.artifact());
    boolean blocked =
        isBusy(scene, unload.endpoint(), source, edit)
            || entry.isEmpty()
            || entry.get().state() == EntryState.RELEASING;
    if (blocked) {
      return;
    }
    Transmission transmission = source.next();
    edit.put(unload.endpoint(), ledger.with(entry.get().withUnload(transmission)));
    edit.send(
        scene.document().endpoints().get(unload.endpoint()),
        TransmissionSource.order(
            EngineOrder.UNLOAD, unload.artifact().toString(), entry.get().bytes(), transmission));
    log(actions, "Unload.", unload.artifact(), unload.endpoint(), unload.reason());
  }

  private static boolean isBusy(
      Scene scene, EndpointId endpoint, TransmissionSource source, LedgerEdit edit) {
    return edit.sendsTo(endpoint) || scene.orders().isBusy(endpoint, source.nowMs());
  }

  private void logDeclined(Move.Declined declined, List<ControlAction> actions) {
    String key = declined.artifact() + " " + declined.reason();
    if (declinedBefore.size() >= REMEMBERED_DECLINED) {
      declinedBefore.clear();
    }
    if (declinedBefore.add(key)) {
      actions.add(
          new ControlAction.Log(
              "placement",
              "Move declined. artifact=%s why=%s %s"
                  .formatted(declined.artifact(), declined.reason(), declined.detail())));
    }
  }

  private static void log(
      List<ControlAction> actions,
      String sentence,
      ArtifactId artifact,
      EndpointId endpoint,
      Move.Reason reason) {
    actions.add(
        new ControlAction.Log(
            "placement",
            "%s artifact=%s endpoint=%s why=%s".formatted(sentence, artifact, endpoint, reason)));
  }
}
