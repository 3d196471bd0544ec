package org.magnoliavale.internal.control;

import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.routing.ResidencyView;

/** Everything that the control state asks to be done. */
public sealed interface ControlAction {
  /** Calls the table; the answer comes back as an event. */
  record CallTable(PoolId pool, ControlEvent.CallKind kind, TableCall call)
      implements ControlAction {}

  /** Sends an order, unless the clock is past the order's last moment of sending. */
  record SendOrder(PoolId pool, Endpoint endpoint, EngineCommand order) implements ControlAction {}

  /** Publishes what is resident where. */
  record Publish(ResidencyView view) implements ControlAction {}

  /** Writes a log line. */
  record Log(String part, String line) implements ControlAction {}
}
