package org.magnoliavale.internal.control;

import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.routing.ResidencyView;

/** A side effect that {@link ControlCore} requests and its caller performs. */
public sealed interface ControlAction {
  /** Calls the table; the result is reported as {@link ControlEvent.TableCallCompleted}. */
  record CallTable(PoolId pool, ControlEvent.CallKind kind, TableCall call)
      implements ControlAction {}

  /**
   * Sends a command to an engine, unless its send deadline has passed; the outcome is reported as
   * {@link ControlEvent.CommandCompleted}.
   */
  record SendCommand(PoolId pool, Endpoint endpoint, EngineCommand command)
      implements ControlAction {}

  /** Publishes the artifacts that each endpoint can serve. */
  record Publish(ResidencyView view) implements ControlAction {}

  /** Writes a line at level INFO to the log of {@code part}. */
  record Log(String part, String line) implements ControlAction {}
}
