package org.magnoliavale.internal.control;

import java.util.Map;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.engine.CommandResult;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.platform.TableResult;

/** An input of {@link ControlCore}. */
public sealed interface ControlEvent {
  /** Periodic event that lets time-dependent state advance. */
  record Tick() implements ControlEvent {}

  /** A document came into force. */
  record DocumentInForce(Document document) implements ControlEvent {}

  /** An engine's report was received; it was requested at {@code requestedAtMs}. */
  record ReportReceived(EndpointId endpoint, EngineReport report, long requestedAtMs)
      implements ControlEvent {}

  /** A poll of an engine returned no valid report. */
  record ReportFailed(EndpointId endpoint) implements ControlEvent {}

  /** A table call of a pool finished, or failed. */
  record TableCallCompleted(PoolId pool, CallKind kind, TableResult result)
      implements ControlEvent {}

  /** A command of a pool finished, or failed. */
  record CommandCompleted(
      PoolId pool, EndpointId endpoint, String transmission, CommandResult result)
      implements ControlEvent {}

  /** Requests per second for each model across the fleet, over the last measuring interval. */
  record DemandMeasured(Map<ModelId, Double> requestsPerSecond) implements ControlEvent {}

  /** The number of live instances was updated, or another instance announced that it leaves. */
  record FleetChanged(int instances, boolean anotherInstanceLeaves) implements ControlEvent {}

  /** This instance is stopping and hands over its leases. */
  record StopRequested() implements ControlEvent {}

  /** What a table call reads or writes. */
  enum CallKind {
    /** The pool's lease. */
    LEASE,
    /** The pool's ledgers. */
    LEDGER
  }
}
