package org.magnoliavale.internal.containment;

import java.util.Optional;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineControl;
import org.magnoliavale.internal.engine.EngineReport;

/** Detects a crash by requesting the endpoint's report. */
public final class ReportProbe implements CrashProbe {
  private static final int TRIES = 3;
  private static final long BETWEEN_TRIES_MS = 50;

  private final EngineControl engines;

  /** Creates a probe that reads reports through {@code engines}. */
  public ReportProbe(EngineControl engines) {
    this.engines = engines;
  }

  @Override
  public boolean hasCrashed(Endpoint endpoint, String knownIncarnation) {
    for (int attempt = 0; attempt < TRIES; attempt++) {
      Optional<EngineReport> report = engines.report(endpoint);
      if (report.isEmpty()) {
        return true;
      }
      if (!report.get().incarnation().equals(knownIncarnation)) {
        return true;
      }
      try {
        // A crashing process may still answer for a moment after its connections are lost.
        Thread.sleep(BETWEEN_TRIES_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return false;
  }
}
