package org.magnoliavale.internal.ledger;

import java.util.Set;
import org.magnoliavale.internal.document.Contract;
import org.magnoliavale.internal.engine.EngineReport;

/**
 * Decides when an artifact's bytes may be given to something else.
 *
 * <p>An artifact is gone when a report shows both that it is absent and that its unload was dealt
 * with, and no load can still arrive. The unload in the report proves that the report was made
 * after the unload; without it an old report could stand for a new one.
 *
 * <p>At an engine that checks fencing numbers and keeps the highest over a restart, a load is dead
 * once an unload with a higher number was dealt with. An engine that forgets its number when it
 * restarts could take an old load after that, so its numbers prove nothing here.
 *
 * <p>At every other engine, a load is settled once the engine reports it, or when the unload was
 * issued after the last moment at which the load could arrive by the contract's lateness. This
 * rests on the assumption that the network and a paused sender together delay no transmission for
 * longer than that, and that no transmission arrives twice.
 */
public final class SettlementRules {
  private final Contract contract;
  private final long clockDriftMs;
  private final Set<String> knownSettled;

  /**
   * Returns the rules for one endpoint.
   *
   * @param clockDriftMs largest difference between two instances' clocks, in milliseconds
   * @param knownSettled ids of transmissions that this process knows were not sent or were refused
   */
  public SettlementRules(Contract contract, long clockDriftMs, Set<String> knownSettled) {
    this.contract = contract;
    this.clockDriftMs = clockDriftMs;
    this.knownSettled = knownSettled;
  }

  /** Tells whether a load was dealt with or certainly never sent. */
  public boolean isSettled(Transmission load, EngineReport report) {
    return knownSettled.contains(load.id()) || report.hasSettled(load.id());
  }

  /** Tells whether an entry's bytes may be given to something else. */
  public boolean isGone(LedgerEntry entry, EngineReport report) {
    return entry.state() == EntryState.RELEASING
        && entry.unload() != null
        && report.hasSettled(entry.unload().id())
        && report.resident(entry.id()).isEmpty()
        && entry.loads().stream()
            .allMatch(load -> isSettled(load, report) || isOutrun(load, entry.unload()));
  }

  /** Tells whether an unload that was dealt with proves that a load has no effect any more. */
  boolean isOutrun(Transmission load, Transmission unload) {
    if (contract.persistsFencingToken()) {
      return unload.fence() > load.fence();
    }
    return unload.issuedAtMs() > lastArrivalMs(load);
  }

  /** Returns the last moment at which a load can arrive at an engine that checks nothing. */
  public long lastArrivalMs(Transmission load) {
    return load.notAfterMs() + contract.maximumCommandDelay().toMillis() + clockDriftMs;
  }
}
