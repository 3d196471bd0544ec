package org.magnoliavale.internal.ledger;

import java.util.Set;
import org.magnoliavale.internal.document.Contract;
import org.magnoliavale.internal.engine.EngineReport;

/**
 * Decides when the memory of an unloaded artifact may be reused.
 *
 * <p>The memory may be reused once a report shows that the artifact is absent and that the engine
 * has processed its unload, and no load can take effect any more. A report that lists the unload
 * was made after it; without this condition an outdated report could be taken for a current one.
 *
 * <p>A load is settled, that is, can no longer take effect, once the engine reports it as processed
 * or this process knows that it was not sent or was refused. For a load that is not settled, the
 * unload decides:
 *
 * <ul>
 *   <li>An engine that checks fencing tokens and keeps the highest over a restart refuses the load
 *       once it has processed an unload with a higher token. An engine that loses its token on a
 *       restart could accept an old load afterwards, so that its tokens prove nothing.
 *   <li>At any other engine, the unload must have been issued after the load's latest possible
 *       arrival, which follows from the contract's maximum command delay. This assumes that the
 *       network and a paused sender together delay no transmission by more than that, and that no
 *       transmission is delivered twice.
 * </ul>
 */
public final class SettlementRules {
  private final Contract contract;
  private final long clockDriftMs;
  private final Set<String> knownSettled;

  /**
   * Returns the rules for one endpoint.
   *
   * @param clockDriftMs maximum difference between two instances' clocks, in milliseconds
   * @param knownSettled ids of transmissions that this process knows to be unsent or refused
   */
  public SettlementRules(Contract contract, long clockDriftMs, Set<String> knownSettled) {
    this.contract = contract;
    this.clockDriftMs = clockDriftMs;
    this.knownSettled = knownSettled;
  }

  /** Tells whether a load was processed, or is known to be unsent or refused. */
  public boolean isSettled(Transmission load, EngineReport report) {
    return knownSettled.contains(load.id()) || report.hasFinished(load.id());
  }

  /** Tells whether an entry's memory may be reused. */
  public boolean isReleasable(LedgerEntry entry, EngineReport report) {
    return entry.state() == EntryState.RELEASING
        && entry.unload() != null
        && report.hasFinished(entry.unload().id())
        && report.resident(entry.id()).isEmpty()
        && entry.loads().stream()
            .allMatch(load -> isSettled(load, report) || isSuperseded(load, entry.unload()));
  }

  /** Tells whether a processed unload proves that a load can no longer take effect. */
  boolean isSuperseded(Transmission load, Transmission unload) {
    if (contract.persistsFencingToken()) {
      return unload.fence() > load.fence();
    }
    return unload.issuedAtMs() > latestArrivalMs(load);
  }

  /**
   * Returns the latest time at which a load can arrive at an engine, in milliseconds since 1970, on
   * any instance's clock.
   */
  public long latestArrivalMs(Transmission load) {
    return load.notAfterMs() + contract.maximumCommandDelay().toMillis() + clockDriftMs;
  }
}
