package org.magnoliavale.internal.engine;

import java.util.Optional;
import org.magnoliavale.internal.document.Endpoint;

/** Sends commands to engines and reads their reports. Each call blocks for a bounded time. */
public interface EngineClient {
  /** Reads an engine's report; empty if there is no valid answer in time. */
  Optional<EngineReport> report(Endpoint endpoint);

  /** Sends one transmission of a command. */
  CommandResult send(Endpoint endpoint, EngineCommand command);
}
