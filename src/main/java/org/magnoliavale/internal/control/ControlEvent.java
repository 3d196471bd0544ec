package org.magnoliavale.internal.control;

import java.util.Map;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.engine.CommandResult;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.platform.TableAnswer;

/** Everything that can happen to the control state. */
public sealed interface ControlEvent {
  /** Time has passed. */
  record Tick() implements ControlEvent {}

  /** A document came in force. */
  record DocumentInForce(Document document) implements ControlEvent {}

  /** An engine's report was read; it was asked for at {@code askedAtMs}. */
  record ReportRead(EndpointId endpoint, EngineReport report, long askedAtMs)
      implements ControlEvent {}

  /** An engine did not answer when its report was asked for. */
  record ReportMissed(EndpointId endpoint) implements ControlEvent {}

  /** The table answered a call of a pool. */
  record TableAnswered(PoolId pool, CallKind kind, TableAnswer answer) implements ControlEvent {}

  /** An engine answered an order of a pool, or did not. */
  record OrderAnswered(PoolId pool, EndpointId endpoint, String transmission, CommandResult answer)
      implements ControlEvent {}

  /** The whole fleet's requests for each model over the last while. */
  record DemandMeasured(Map<ModelId, Double> requestsPerSecond) implements ControlEvent {}

  /** The number of live instances changed, or another instance said that it is leaving. */
  record FleetChanged(int instances, boolean someoneLeaves) implements ControlEvent {}

  /** This instance is to stop; leases are handed over. */
  record StopRequested() implements ControlEvent {}

  /** What a table call was for. */
  enum CallKind {
    /** A call of the lease. */
    LEASE,
    /** A call of the ledger. */
    LEDGER
  }
}
