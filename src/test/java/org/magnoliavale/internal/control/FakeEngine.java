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
  private EngineReport published;
  private long publishedAtMs;

  FakeEngine(Endpoint endpoint) {
    this.endpoint = endpoint;
    this.memory = new EngineMemory(endpoint.artifactCapacityBytes(), endpoint.contract());
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

  /** Returns the latest published report; a new one is published every {@code lagMs}. */
  EngineReport report(long nowMs, long lagMs) {
    boolean restarted = published != null && !published.incarnation().equals(memory.incarnation());
    if (published == null || restarted || nowMs - publishedAtMs >= lagMs) {
      published = newReport();
      publishedAtMs = nowMs;
    }
    return published;
  }

  private EngineReport newReport() {
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
