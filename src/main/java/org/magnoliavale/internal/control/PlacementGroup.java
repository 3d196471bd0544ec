package org.magnoliavale.internal.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliavale.internal.control.ControlEvent.CallKind;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.engine.OrderAnswer;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.lease.LeaseKeeper;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.Ledger;
import org.magnoliavale.internal.ledger.LedgerEntry;
import org.magnoliavale.internal.ledger.SettlementRules;
import org.magnoliavale.internal.placement.DemandForecast;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.Transaction;

/**
 * One pool's placement as this instance sees it: its lease, and while the lease is held, its
 * ledgers and the orders in flight.
 *
 * <p>Every order is recorded in the ledger before it is sent. At most one ledger commit is in
 * flight, and at most one order to each endpoint.
 */
final class PlacementGroup {
  private static final int MAXIMUM_ROWS_PER_COMMIT = 16;

  private final PoolId pool;
  private final ControlOptions options;
  private final LeaseKeeper lease;
  private final Reports reports;
  private final OrderBook orders;
  private final Map<EndpointId, LedgerRow> rows = new TreeMap<>();
  private final LoadAllowance allowance = new LoadAllowance();
  private final PlacementRound round;

  private Document document = Document.EMPTY;
  private DemandForecast demand = new DemandForecast();
  private boolean loaded;
  private long loadedAtMs;
  private boolean callPending;
  private LedgerEdit committing;
  private long loggedEpoch;

  PlacementGroup(PoolId pool, ControlOptions options, LeaseKeeper lease, Reports reports) {
    this.pool = pool;
    this.options = options;
    this.lease = lease;
    this.reports = reports;
    this.orders = new OrderBook();
    this.round = new PlacementRound(options.policy(), allowance);
  }

  void setDocument(Document newDocument) {
    document = newDocument;
  }

  void setDemand(DemandForecast newDemand) {
    demand = newDemand;
  }

  LeaseKeeper lease() {
    return lease;
  }

  /** Returns the artifacts of an endpoint that are on their way out by this holder's ledger. */
  Set<ArtifactId> releasing(EndpointId endpoint) {
    LedgerRow row = rows.get(endpoint);
    if (!loaded || row == null) {
      return Set.of();
    }
    Set<ArtifactId> releasing = new HashSet<>();
    for (LedgerEntry entry : row.ledger().entries()) {
      if (entry.state() == EntryState.RELEASING) {
        releasing.add(entry.id());
      }
    }
    return releasing;
  }

  /** Advances as far as time and what is known allow. */
  void advance(long nowMs, List<ControlAction> actions) {
    lease.tick(nowMs).ifPresent(call -> actions.add(callTable(CallKind.LEASE, call)));
    if (!lease.isHeld(nowMs)) {
      forgetLedgers();
      return;
    }
    logTakeover(actions);
    if (callPending) {
      return;
    }
    if (!loaded) {
      callPending = true;
      actions.add(callTable(CallKind.LEDGER, new TableCall.Scan(prefix())));
      return;
    }
    commit(nowMs, actions);
  }

  void leaseAnswered(TableAnswer answer, long nowMs, List<ControlAction> actions) {
    lease.answered(answer, nowMs).ifPresent(call -> actions.add(callTable(CallKind.LEASE, call)));
  }

  void ledgerAnswered(TableAnswer answer, long nowMs, List<ControlAction> actions) {
    callPending = false;
    LedgerEdit edit = committing;
    committing = null;
    if (!lease.isHeld(nowMs)) {
      // Nothing may be sent any more; the transmissions recorded here were never sent.
      forgetLedgers();
      return;
    }
    switch (answer) {
      case TableAnswer.Done done when edit == null -> load(done, nowMs);
      case TableAnswer.Done done -> committed(edit, done, nowMs, actions);
      case TableAnswer.Refused ignored -> {
        actions.add(log("Ledger write refused. pool=%s epoch=%d".formatted(pool, lease.epoch())));
        forgetLedgers();
        lease.doubt(nowMs);
      }
      case TableAnswer.Unknown(String reason) -> {
        actions.add(log("Ledger answer lost. pool=%s why=%s".formatted(pool, reason)));
        noteNeverSent(edit);
        loaded = false;
      }
      case TableAnswer.Unavailable ignored -> noteNeverSent(edit);
    }
  }

  void orderAnswered(
      EndpointId endpoint, String transmission, OrderAnswer answer, List<ControlAction> actions) {
    orders.answered(endpoint, transmission, answer);
    if (!(answer instanceof OrderAnswer.Accepted)) {
      actions.add(
          log(
              "Order not confirmed. endpoint=%s transmission=%s answer=%s"
                  .formatted(endpoint, transmission, answer)));
    }
  }

  private void commit(long nowMs, List<ControlAction> actions) {
    LedgerEdit edit = new LedgerEdit();
    TransmissionSource source =
        new TransmissionSource(options.self(), lease.epoch(), orders, nowMs, lease.validUntilMs());
    Pool settings = document.pools().get(pool);
    if (settings == null) {
      return;
    }
    for (Endpoint endpoint : document.endpointsOf(pool)) {
      LedgerRow row = rows.computeIfAbsent(endpoint.id(), ignored -> emptyRow(endpoint));
      Optional<EngineReport> report = reports.askedSince(endpoint.id(), loadedAtMs);
      if (report.isPresent() && edit.changed().size() < MAXIMUM_ROWS_PER_COMMIT) {
        SettlementRules rules =
            new SettlementRules(endpoint.contract(), options.clockDriftMs(), orders.knownSettled());
        new LedgerReview(document, endpoint, row, report.get(), rules, orders, source)
            .review(edit, actions);
      }
    }
    round.run(
        new PlacementRound.Scene(document, settings, rows, reports, orders, demand),
        source,
        edit,
        actions);
    if (edit.isEmpty()) {
      return;
    }
    committing = edit;
    callPending = true;
    actions.add(callTable(CallKind.LEDGER, new TableCall.Commit(transaction(edit))));
  }

  private Transaction transaction(LedgerEdit edit) {
    Transaction.Builder transaction =
        Transaction.builder().require(lease.epochKey(), lease.epochRowVersion());
    edit.changed()
        .forEach(
            (endpoint, ledger) -> {
              transaction.require(key(endpoint), rows.get(endpoint).version());
              transaction.write(key(endpoint), Json.text(ledger));
            });
    return transaction.build();
  }

  private void committed(
      LedgerEdit edit, TableAnswer.Done done, long nowMs, List<ControlAction> actions) {
    edit.changed()
        .forEach(
            (endpoint, ledger) ->
                rows.put(endpoint, new LedgerRow(done.version(key(endpoint)), ledger)));
    for (LedgerEdit.Outgoing outgoing : edit.orders()) {
      orders.sent(outgoing.endpoint().id(), outgoing.order(), nowMs);
      actions.add(new ControlAction.SendOrder(pool, outgoing.endpoint(), outgoing.order()));
    }
  }

  private void load(TableAnswer.Done done, long nowMs) {
    rows.clear();
    for (Row row : done.rows()) {
      EndpointId endpoint = new EndpointId(row.key().substring(prefix().length()));
      rows.put(endpoint, new LedgerRow(row.version(), parse(row)));
    }
    loaded = true;
    loadedAtMs = nowMs;
  }

  private void forgetLedgers() {
    noteNeverSent(committing);
    committing = null;
    loaded = false;
    rows.clear();
  }

  private void noteNeverSent(LedgerEdit edit) {
    if (edit != null) {
      edit.orders().forEach(outgoing -> orders.neverSent(outgoing.order().transmission()));
    }
  }

  private void logTakeover(List<ControlAction> actions) {
    if (lease.epoch() != loggedEpoch) {
      loggedEpoch = lease.epoch();
      actions.add(log("Lease taken. pool=%s epoch=%d".formatted(pool, loggedEpoch)));
    }
  }

  private ControlAction callTable(CallKind kind, TableCall call) {
    return new ControlAction.CallTable(pool, kind, call);
  }

  private static ControlAction log(String line) {
    return new ControlAction.Log("placement", line);
  }

  private LedgerRow emptyRow(Endpoint endpoint) {
    Ledger ledger =
        new Ledger(endpoint.id().value(), endpoint.artifactCapacityBytes(), new ArrayList<>());
    return new LedgerRow(Row.ABSENT, ledger);
  }

  private String prefix() {
    return "ledger/" + pool + "/";
  }

  private String key(EndpointId endpoint) {
    return prefix() + endpoint;
  }

  private static Ledger parse(Row row) {
    try {
      return Json.read(row.value(), Ledger.class);
    } catch (IOException e) {
      throw new IllegalStateException("row " + row.key() + " is malformed", e);
    }
  }
}
