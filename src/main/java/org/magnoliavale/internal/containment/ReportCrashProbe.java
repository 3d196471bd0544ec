package org.magnoliavale.internal.containment;

import java.util.Optional;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineClient;
import org.magnoliavale.internal.engine.EngineReport;

/**
 * Detects a crash by requesting the endpoint's report several times: the endpoint has crashed if a
 * request gets no report, or one of another incarnation. An interrupt ends the probe without a
 * crash.
 */
public final class ReportCrashProbe implements CrashProbe {
  private static final int MAXIMUM_REQUESTS = 3;
  private static final long REQUEST_INTERVAL_MS = 50;

  private final EngineClient client;

  /** Creates a probe that reads reports through {@code client}. */
  public ReportCrashProbe(EngineClient client) {
    this.client = client;
  }

  @Override
  public boolean hasCrashed(Endpoint endpoint, String knownIncarnation) {
    for (int attempt = 0; attempt < MAXIMUM_REQUESTS; attempt++) {
      Optional<EngineReport> report = client.report(endpoint);
      if (report.isEmpty()) {
        return true;
      }
      if (!report.get().incarnation().equals(knownIncarnation)) {
        return true;
      }
      try {
        // A crashing process may still answer for a moment after its connections are lost.
        Thread.sleep(REQUEST_INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return false;
  }
}
