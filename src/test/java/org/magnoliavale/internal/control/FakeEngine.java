package org.magnoliavale.internal.control;

import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.standin.EngineMemory;

/** An engine's memory behind a report that can be made at any moment. */
final class FakeEngine {
  private final Endpoint endpoint;
  private final EngineMemory memory;
  private long sequence;

  FakeEngine(Endpoint endpoint) {
    this.endpoint = endpoint;
    this.memory = new EngineMemory(endpoint.placeableBytes(), endpoint.contract().checksFencing());
  }

  Endpoint endpoint() {
    return endpoint;
  }

  EngineMemory memory() {
    return memory;
  }

  boolean take(EngineOrder order) {
    return memory.take(order) == EngineMemory.Verdict.ACCEPTED;
  }

  EngineReport report() {
    sequence++;
    return new EngineReport(
        memory.incarnation(),
        sequence,
        endpoint.memoryBytes(),
        memory.highestFence(),
        false,
        0,
        0,
        0,
        memory.residents(),
        memory.transmissions());
  }
}
