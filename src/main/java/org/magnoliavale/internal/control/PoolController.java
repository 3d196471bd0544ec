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
import org.magnoliavale.internal.engine.CommandResult;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.Ledger;
import org.magnoliavale.internal.ledger.LedgerEntry;
import org.magnoliavale.internal.ledger.SettlementRules;
import org.magnoliavale.internal.placement.DemandForecast;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Controls the placement of one engine pool: competes for the pool's lease and, while it holds the
 * lease, reads the ledgers, reconciles them with the engines' reports, and places artifacts.
 *
 * <p>Every command is recorded in the ledger before it is sent. At most one ledger call is in
 * progress, and at most one command for each endpoint. Every ledger commit is conditional on the
 * lease's epoch, so that a former holder cannot write.
 *
 * <p>When the lease is lost, the ledgers are dropped; they are read again under a new lease. After
 * a commit whose outcome is unknown they are read again as well, and its commands are not sent.
 * Times are in milliseconds since 1970. Not thread-safe; {@link ControlCore} owns it.
 */
final class PoolController {
  private static final int MAXIMUM_ROWS_PER_COMMIT = 16;

  private final PoolId pool;
  private final ControlOptions options;
  private final LeaseManager lease;
  private final EngineReports reports;
  private final CommandTracker commands;
  private final Map<EndpointId, LedgerRow> rows = new TreeMap<>();
  private final LoadRateLimiter rateLimiter = new LoadRateLimiter();
  private final PlacementExecutor executor;

  private Document document = Document.EMPTY;
  private DemandForecast demand = new DemandForecast();
  private boolean ledgersLoaded;
  private long ledgersLoadedAtMs;
  private boolean ledgerCallPending;
  private LedgerChanges pendingChanges;
  private long loggedEpoch;

  PoolController(PoolId pool, ControlOptions options, LeaseManager lease, EngineReports reports) {
    this.pool = pool;
    this.options = options;
    this.lease = lease;
    this.reports = reports;
    this.commands = new CommandTracker();
    this.executor = new PlacementExecutor(options.policy(), rateLimiter);
  }

  void setDocument(Document newDocument) {
    document = newDocument;
  }

  void setDemand(DemandForecast newDemand) {
    demand = newDemand;
  }

  LeaseManager lease() {
    return lease;
  }

  /** Returns the artifacts that the cached ledger of an endpoint marks for unloading. */
  Set<ArtifactId> releasing(EndpointId endpoint) {
    LedgerRow row = rows.get(endpoint);
    if (!ledgersLoaded || row == null) {
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

  /** Starts every action that is due at {@code nowMs}. */
  void advance(long nowMs, List<ControlAction> actions) {
    lease.tick(nowMs).ifPresent(call -> actions.add(callTable(CallKind.LEASE, call)));
    if (!lease.isHeld(nowMs)) {
      dropLedgers();
      return;
    }
    logLeaseAcquired(actions);
    if (ledgerCallPending) {
      return;
    }
    if (!ledgersLoaded) {
      ledgerCallPending = true;
      actions.add(callTable(CallKind.LEDGER, new TableCall.Scan(keyPrefix())));
      return;
    }
    reconcileAndPlace(nowMs, actions);
  }

  void onLeaseResult(TableResult result, long nowMs, List<ControlAction> actions) {
    lease
        .callCompleted(result, nowMs)
        .ifPresent(call -> actions.add(callTable(CallKind.LEASE, call)));
  }

  void onLedgerResult(TableResult result, long nowMs, List<ControlAction> actions) {
    ledgerCallPending = false;
    LedgerChanges changes = pendingChanges;
    pendingChanges = null;
    if (!lease.isHeld(nowMs)) {
      // Without the lease no command may be sent, so the recorded transmissions stay unsent.
      dropLedgers();
      return;
    }
    switch (result) {
      case TableResult.Success done when changes == null -> loadLedgers(done, nowMs);
      case TableResult.Success done -> applyCommit(changes, done, nowMs, actions);
      case TableResult.ConditionFailed ignored -> {
        actions.add(
            log("Ledger commit condition failed. pool=%s epoch=%d".formatted(pool, lease.epoch())));
        dropLedgers();
        lease.markLost(nowMs);
      }
      case TableResult.OutcomeUnknown(String reason) -> {
        actions.add(log("Outcome of ledger call unknown. pool=%s why=%s".formatted(pool, reason)));
        recordNotSent(changes);
        ledgersLoaded = false;
      }
      case TableResult.Unavailable ignored -> recordNotSent(changes);
    }
  }

  void onCommandResult(
      EndpointId endpoint, String transmission, CommandResult result, List<ControlAction> actions) {
    commands.recordResult(endpoint, transmission, result);
    if (!(result instanceof CommandResult.Accepted)) {
      actions.add(
          log(
              "Command not confirmed. endpoint=%s transmission=%s answer=%s"
                  .formatted(endpoint, transmission, result)));
    }
  }

  private void reconcileAndPlace(long nowMs, List<ControlAction> actions) {
    LedgerChanges changes = new LedgerChanges();
    TransmissionFactory transmissions =
        new TransmissionFactory(
            options.self(), lease.epoch(), commands, nowMs, lease.validUntilMs());
    Pool definition = document.pools().get(pool);
    if (definition == null) {
      return;
    }
    for (Endpoint endpoint : document.endpointsOf(pool)) {
      LedgerRow row = rows.computeIfAbsent(endpoint.id(), ignored -> emptyRow(endpoint));
      Optional<EngineReport> report = reports.requestedAfter(endpoint.id(), ledgersLoadedAtMs);
      if (report.isPresent() && changes.changed().size() < MAXIMUM_ROWS_PER_COMMIT) {
        SettlementRules rules =
            new SettlementRules(
                endpoint.contract(), options.clockDriftMs(), commands.knownSettled());
        new LedgerReconciler(document, endpoint, row, report.get(), rules, commands, transmissions)
            .reconcile(changes, actions);
      }
    }
    executor.run(
        new PlacementExecutor.Context(document, definition, rows, reports, commands, demand),
        transmissions,
        changes,
        actions);
    if (changes.isEmpty()) {
      return;
    }
    pendingChanges = changes;
    ledgerCallPending = true;
    actions.add(callTable(CallKind.LEDGER, new TableCall.Commit(transaction(changes))));
  }

  private Transaction transaction(LedgerChanges changes) {
    Transaction.Builder transaction =
        Transaction.builder().require(lease.epochKey(), lease.epochRowVersion());
    changes
        .changed()
        .forEach(
            (endpoint, ledger) -> {
              transaction.require(key(endpoint), rows.get(endpoint).version());
              transaction.write(key(endpoint), Json.text(ledger));
            });
    return transaction.build();
  }

  private void applyCommit(
      LedgerChanges changes, TableResult.Success done, long nowMs, List<ControlAction> actions) {
    changes
        .changed()
        .forEach(
            (endpoint, ledger) ->
                rows.put(endpoint, new LedgerRow(done.version(key(endpoint)), ledger)));
    for (LedgerChanges.OutgoingCommand outgoing : changes.commands()) {
      commands.recordSent(outgoing.endpoint().id(), outgoing.command(), nowMs);
      actions.add(new ControlAction.SendCommand(pool, outgoing.endpoint(), outgoing.command()));
    }
  }

  private void loadLedgers(TableResult.Success done, long nowMs) {
    rows.clear();
    for (Row row : done.rows()) {
      EndpointId endpoint = new EndpointId(row.key().substring(keyPrefix().length()));
      rows.put(endpoint, new LedgerRow(row.version(), parse(row)));
    }
    ledgersLoaded = true;
    ledgersLoadedAtMs = nowMs;
  }

  private void dropLedgers() {
    recordNotSent(pendingChanges);
    pendingChanges = null;
    ledgersLoaded = false;
    rows.clear();
  }

  private void recordNotSent(LedgerChanges changes) {
    if (changes != null) {
      changes
          .commands()
          .forEach(outgoing -> commands.recordNotSent(outgoing.command().transmission()));
    }
  }

  private void logLeaseAcquired(List<ControlAction> actions) {
    if (lease.epoch() != loggedEpoch) {
      loggedEpoch = lease.epoch();
      actions.add(log("Lease acquired. pool=%s epoch=%d".formatted(pool, loggedEpoch)));
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

  private String keyPrefix() {
    return "ledger/" + pool + "/";
  }

  private String key(EndpointId endpoint) {
    return keyPrefix() + endpoint;
  }

  private static Ledger parse(Row row) {
    try {
      return Json.read(row.value(), Ledger.class);
    } catch (IOException e) {
      throw new IllegalStateException("ledger row " + row.key() + " is malformed", e);
    }
  }
}
