package org.magnoliavale.internal.residency;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.logging.Logs;

/** Logs what requests wait for whose models no endpoint holds. Not thread-safe. */
final class WaitingModelsLog {
  private static final Logger LOG = Logs.of("residency");

  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  private OptionalLong loggedNanos = OptionalLong.empty();

  /** Logs a line if one is due and requests wait. */
  void log(List<EndpointView> views, Map<Artifact, ArtifactUse> uses, long nowNanos) {
    if (loggedNanos.isPresent() && nowNanos - loggedNanos.getAsLong() < INTERVAL_NANOS) {
      return;
    }
    loggedNanos = OptionalLong.of(nowNanos);
    WaitingModels waiting = WaitingModels.of(views, uses);
    if (waiting.models() > 0) {
      LOG.infof(
          "Requests wait for models. models=%d requests=%d under-way=%d without-copy=%d"
              + " with-busy-endpoints=%d busy-endpoints=%d endpoints=%d",
          waiting.models(),
          waiting.requests(),
          waiting.underWay(),
          waiting.withoutCopy(),
          waiting.withBusyEndpoints(),
          waiting.busyEndpoints(),
          waiting.endpoints());
    }
  }
}
