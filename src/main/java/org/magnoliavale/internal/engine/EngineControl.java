package org.magnoliavale.internal.engine;

import java.util.Optional;
import org.magnoliavale.internal.document.Endpoint;

/** Orders to engines and their reports. Every call blocks for a bounded time. */
public interface EngineControl {
  /** Reads an engine's report; nothing if it does not answer in time. */
  Optional<EngineReport> report(Endpoint endpoint);

  /** Sends one transmission of an order. */
  OrderAnswer send(Endpoint endpoint, EngineOrder order);
}
