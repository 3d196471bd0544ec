package org.magnoliavale.internal.control;

import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.Ledger;
import org.magnoliavale.internal.ledger.LedgerEntry;
import org.magnoliavale.internal.ledger.SettlementRules;
import org.magnoliavale.internal.ledger.Transmission;

/** Compares one endpoint's ledger with its report and says what to write and what to send. */
final class LedgerReview {
  /** Time after which an order without visible effect is sent again, in milliseconds. */
  private static final long RESEND_AFTER_MS = 3_000;

  /** An artifact with so many loads that may still arrive gets no further one. */
  private static final int MAXIMUM_OPEN_LOADS = 8;

  private final Document document;
  private final Endpoint endpoint;
  private final LedgerRow row;
  private final EngineReport report;
  private final SettlementRules rules;
  private final OrderBook orders;
  private final TransmissionSource source;

  LedgerReview(
      Document document,
      Endpoint endpoint,
      LedgerRow row,
      EngineReport report,
      SettlementRules rules,
      OrderBook orders,
      TransmissionSource source) {
    this.document = document;
    this.endpoint = endpoint;
    this.row = row;
    this.report = report;
    this.rules = rules;
    this.orders = orders;
    this.source = source;
  }

  void review(LedgerEdit edit, List<ControlAction> actions) {
    Ledger ledger = row.ledger();
    if (ledger.capacityBytes() != endpoint.artifactCapacityBytes()) {
      ledger = ledger.withCapacity(endpoint.artifactCapacityBytes());
    }
    ledger = adoptFound(ledger, actions);
    for (LedgerEntry entry : ledger.entries()) {
      ledger = reviewEntry(ledger, entry, edit, actions);
    }
    if (!ledger.equals(row.ledger())) {
      edit.put(endpoint.id(), ledger);
    }
  }

  /** Accounts for artifacts that occupy memory without an entry. */
  private Ledger adoptFound(Ledger ledger, List<ControlAction> actions) {
    Ledger result = ledger;
    for (ResidentArtifact resident : report.residents()) {
      if (result.entry(resident.id()).isEmpty()) {
        result = result.with(LedgerEntry.found(resident.id(), resident.bytes()));
        log(actions, "Found artifact without entry.", resident.artifact());
      }
    }
    return result;
  }

  private Ledger reviewEntry(
      Ledger ledger, LedgerEntry entry, LedgerEdit edit, List<ControlAction> actions) {
    if (rules.isGone(entry, report)) {
      log(actions, "Artifact gone, bytes released.", entry.artifact());
      return ledger.without(entry.artifact());
    }
    if (entry.state() == EntryState.RELEASING) {
      return resendUnload(ledger, entry, edit);
    }
    LedgerEntry settled = entry.withoutLoads(load -> rules.isSettled(load, report));
    Optional<ResidentArtifact> resident = report.resident(entry.id());
    if (resident.isPresent()) {
      boolean arrived = resident.get().ready() && entry.state() == EntryState.RESERVED;
      if (arrived) {
        log(actions, "Artifact resident.", entry.artifact());
        return ledger.with(settled.withState(EntryState.RESIDENT));
      }
      return ledger;
    }
    return reload(ledger, settled, edit, actions);
  }

  private Ledger resendUnload(Ledger ledger, LedgerEntry entry, LedgerEdit edit) {
    if (!maySend(entry, edit) || isWaitingForArrival(entry)) {
      return ledger;
    }
    Transmission unload = source.next();
    edit.send(
        endpoint,
        TransmissionSource.order(EngineOrder.UNLOAD, entry.artifact(), entry.bytes(), unload));
    return ledger.with(entry.withUnload(unload));
  }

  /** The last unload was dealt with, and a new one proves nothing before a load has run out. */
  private boolean isWaitingForArrival(LedgerEntry entry) {
    boolean confirmed =
        entry.unload() != null
            && report.hasSettled(entry.unload().id())
            && report.resident(entry.id()).isEmpty();
    return confirmed
        && !endpoint.contract().persistsFencingToken()
        && entry.loads().stream()
            .anyMatch(
                load ->
                    !rules.isSettled(load, report) && source.nowMs() <= rules.lastArrivalMs(load));
  }

  private Ledger reload(
      Ledger ledger, LedgerEntry entry, LedgerEdit edit, List<ControlAction> actions) {
    if (!maySend(entry, edit)) {
      return ledger;
    }
    Transmission transmission = source.next();
    if (!isWanted(entry.id())) {
      edit.send(
          endpoint,
          TransmissionSource.order(
              EngineOrder.UNLOAD, entry.artifact(), entry.bytes(), transmission));
      return ledger.with(entry.withUnload(transmission));
    }
    if (entry.loads().size() >= MAXIMUM_OPEN_LOADS || lacksWeights(ledger, entry)) {
      return ledger;
    }
    log(actions, "Artifact absent, loading again.", entry.artifact());
    edit.send(
        endpoint,
        TransmissionSource.order(EngineOrder.LOAD, entry.artifact(), entry.bytes(), transmission));
    return ledger.with(entry.withLoad(transmission));
  }

  private boolean lacksWeights(Ledger ledger, LedgerEntry entry) {
    return entry.id().adapter() != null
        && ledger
            .entry(entry.id().weights())
            .map(weights -> weights.state() != EntryState.RESIDENT)
            .orElse(true);
  }

  private boolean isWanted(ArtifactId artifact) {
    Model model = document.models().get(artifact.model());
    boolean placedHere = model != null && model.pool().equals(endpoint.pool());
    return placedHere
        && !endpoint.draining()
        && model.version() == artifact.version()
        && (artifact.adapter() == null || model.adapters().contains(artifact.adapter()));
  }

  private boolean maySend(LedgerEntry entry, LedgerEdit edit) {
    long now = source.nowMs();
    return !edit.sendsTo(endpoint.id())
        && !orders.isBusy(endpoint.id(), now)
        && !orders.wasSentSince(endpoint.id(), entry.artifact(), now - RESEND_AFTER_MS);
  }

  private void log(List<ControlAction> actions, String sentence, String artifact) {
    actions.add(
        new ControlAction.Log(
            "placement",
            "%s endpoint=%s artifact=%s".formatted(sentence, endpoint.id(), artifact)));
  }
}
