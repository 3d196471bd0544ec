package org.magnoliavale.internal.control;

import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.Ledger;
import org.magnoliavale.internal.ledger.LedgerEntry;
import org.magnoliavale.internal.ledger.SettlementRules;
import org.magnoliavale.internal.ledger.Transmission;

/**
 * Compares one endpoint's ledger with a report that was requested after the ledger was read, and
 * collects the ledger changes and commands that follow from the difference.
 *
 * <p>Artifacts that the report shows without an entry are recorded, loads that have completed are
 * marked as resident, missing artifacts that are still configured are loaded again, unloads are
 * repeated, and memory is released once {@link SettlementRules} permit it. Nothing is sent or
 * stored here: the caller commits the changes, and sends the commands once the commit has
 * succeeded.
 */
final class LedgerReconciler {
  /** Minimum time between two commands for the same artifact, in milliseconds. */
  private static final long RESEND_INTERVAL_MS = 3_000;

  /** Limit on unsettled load transmissions of one artifact; no further load is sent beyond it. */
  private static final int MAXIMUM_UNSETTLED_LOADS = 8;

  private final Document document;
  private final Endpoint endpoint;
  private final LedgerRow row;
  private final EngineReport report;
  private final SettlementRules rules;
  private final CommandTracker commands;
  private final TransmissionFactory transmissions;

  LedgerReconciler(
      Document document,
      Endpoint endpoint,
      LedgerRow row,
      EngineReport report,
      SettlementRules rules,
      CommandTracker commands,
      TransmissionFactory transmissions) {
    this.document = document;
    this.endpoint = endpoint;
    this.row = row;
    this.report = report;
    this.rules = rules;
    this.commands = commands;
    this.transmissions = transmissions;
  }

  void reconcile(LedgerChanges changes, List<ControlAction> actions) {
    Ledger ledger = row.ledger();
    if (ledger.capacityBytes() != endpoint.artifactCapacityBytes()) {
      ledger = ledger.withCapacity(endpoint.artifactCapacityBytes());
    }
    ledger = addUnrecorded(ledger, actions);
    for (LedgerEntry entry : ledger.entries()) {
      ledger = reconcileEntry(ledger, entry, changes, actions);
    }
    if (!ledger.equals(row.ledger())) {
      changes.put(endpoint.id(), ledger);
    }
  }

  /** Adds an entry for each artifact that the report shows and the ledger lacks. */
  private Ledger addUnrecorded(Ledger ledger, List<ControlAction> actions) {
    Ledger result = ledger;
    for (ResidentArtifact resident : report.residents()) {
      if (result.entry(resident.id()).isEmpty()) {
        result = result.with(LedgerEntry.discovered(resident.id(), resident.bytes()));
        log(actions, "Artifact found without ledger entry.", resident.artifact());
      }
    }
    return result;
  }

  private Ledger reconcileEntry(
      Ledger ledger, LedgerEntry entry, LedgerChanges changes, List<ControlAction> actions) {
    if (rules.isReleasable(entry, report)) {
      log(actions, "Artifact removed, memory released.", entry.artifact());
      return ledger.without(entry.artifact());
    }
    if (entry.state() == EntryState.RELEASING) {
      return resendUnload(ledger, entry, changes);
    }
    LedgerEntry settled = entry.withoutLoads(load -> rules.isSettled(load, report));
    Optional<ResidentArtifact> resident = report.resident(entry.id());
    if (resident.isPresent()) {
      boolean becameReady = resident.get().ready() && entry.state() == EntryState.RESERVED;
      if (becameReady) {
        log(actions, "Artifact resident.", entry.artifact());
        return ledger.with(settled.withState(EntryState.RESIDENT));
      }
      return ledger;
    }
    return reload(ledger, settled, changes, actions);
  }

  private Ledger resendUnload(Ledger ledger, LedgerEntry entry, LedgerChanges changes) {
    if (!maySendCommand(entry, changes) || mustAwaitLateLoads(entry)) {
      return ledger;
    }
    Transmission unload = transmissions.next();
    changes.addCommand(
        endpoint,
        TransmissionFactory.command(EngineCommand.UNLOAD, entry.artifact(), entry.bytes(), unload));
    return ledger.with(entry.withUnload(unload));
  }

  /**
   * Tells whether a new unload would be useless for now. The engine has settled the previous one,
   * and it does not keep its fencing token over a restart, so that only an unload issued after the
   * latest possible arrival of every unsettled load proves that the artifact stays absent.
   */
  private boolean mustAwaitLateLoads(LedgerEntry entry) {
    boolean unloadSettled =
        entry.unload() != null
            && report.hasFinished(entry.unload().id())
            && report.resident(entry.id()).isEmpty();
    return unloadSettled
        && !endpoint.contract().persistsFencingToken()
        && entry.loads().stream()
            .anyMatch(
                load ->
                    !rules.isSettled(load, report)
                        && transmissions.nowMs() <= rules.latestArrivalMs(load));
  }

  private Ledger reload(
      Ledger ledger, LedgerEntry entry, LedgerChanges changes, List<ControlAction> actions) {
    if (!maySendCommand(entry, changes)) {
      return ledger;
    }
    Transmission transmission = transmissions.next();
    if (!isConfigured(entry.id())) {
      changes.addCommand(
          endpoint,
          TransmissionFactory.command(
              EngineCommand.UNLOAD, entry.artifact(), entry.bytes(), transmission));
      return ledger.with(entry.withUnload(transmission));
    }
    if (entry.loads().size() >= MAXIMUM_UNSETTLED_LOADS || isMissingWeights(ledger, entry)) {
      return ledger;
    }
    log(actions, "Artifact missing, loading again.", entry.artifact());
    changes.addCommand(
        endpoint,
        TransmissionFactory.command(
            EngineCommand.LOAD, entry.artifact(), entry.bytes(), transmission));
    return ledger.with(entry.withLoad(transmission));
  }

  private boolean isMissingWeights(Ledger ledger, LedgerEntry entry) {
    return entry.id().adapter() != null
        && ledger
            .entry(entry.id().weights())
            .map(weights -> weights.state() != EntryState.RESIDENT)
            .orElse(true);
  }

  private boolean isConfigured(ArtifactId artifact) {
    Model model = document.models().get(artifact.model());
    boolean servedByPool = model != null && model.pool().equals(endpoint.pool());
    return servedByPool
        && !endpoint.draining()
        && model.version() == artifact.version()
        && (artifact.adapter() == null || model.adapters().contains(artifact.adapter()));
  }

  private boolean maySendCommand(LedgerEntry entry, LedgerChanges changes) {
    long now = transmissions.nowMs();
    return !changes.hasCommandFor(endpoint.id())
        && !commands.isAwaitingResult(endpoint.id(), now)
        && !commands.wasSentSince(endpoint.id(), entry.artifact(), now - RESEND_INTERVAL_MS);
  }

  private void log(List<ControlAction> actions, String message, String artifact) {
    actions.add(
        new ControlAction.Log(
            "placement", "%s endpoint=%s artifact=%s".formatted(message, endpoint.id(), artifact)));
  }
}
