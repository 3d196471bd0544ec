package org.magnoliavale.internal.control;

import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.standin.EngineMemory;

/** Simulated engine: the memory model of the stand-in, with reports that lag behind it. */
final class FakeEngine {
  private final Endpoint endpoint;
  private final EngineMemory memory;
  private long sequence;
  private EngineReport lastReport;
  private long lastReportAtMs;

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

  boolean accept(EngineCommand command) {
    return memory.execute(command) == EngineMemory.ExecutionResult.ACCEPTED;
  }

  /** Returns a report that is at most {@code lagMs} old; a restart makes a new one at once. */
  EngineReport report(long nowMs, long lagMs) {
    boolean restarted =
        lastReport != null && !lastReport.incarnation().equals(memory.incarnation());
    if (lastReport == null || restarted || nowMs - lastReportAtMs >= lagMs) {
      lastReport = newReport();
      lastReportAtMs = nowMs;
    }
    return lastReport;
  }

  private EngineReport newReport() {
    sequence++;
    return new EngineReport(
        memory.incarnation(),
        sequence,
        endpoint.memoryBytes(),
        memory.highestFencingToken(),
        false,
        0,
        0,
        0,
        memory.residents(),
        memory.transmissions());
  }
}
