package org.magnoliavale.internal.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.LoadedModel;

/**
 * What one endpoint holds, from its entry and from what instances know before the entry shows it.
 * Not thread-safe.
 */
final class ArtifactHoldings {
  /** Time for which a missing adapter is not requested again; loading it takes about as long. */
  private static final long MISSING_ADAPTER_PAUSE_MS = 60;

  private static final long MISSING_MODEL_PAUSE_MS = 1_000;

  /** Time after which an endpoint's own entry shows that an artifact was unloaded. */
  private static final long UNLOAD_VISIBLE_AFTER_MS = 5_500;

  private final Map<Artifact, Long> missingUntil = new HashMap<>();
  private final Set<Artifact> announcedLoaded = new HashSet<>();

  /** Applies a newer entry of the endpoint. */
  void update(DirectoryEntry newEntry) {
    missingUntil.clear();
    announcedLoaded.removeIf(artifact -> shows(newEntry, artifact));
  }

  boolean holds(DirectoryEntry entry, Artifact artifact, long nowNanos) {
    if (isMissing(artifact, nowNanos) || isMissing(artifact.baseModel(), nowNanos)) {
      return false;
    }
    return announcedLoaded.contains(artifact) || shows(entry, artifact);
  }

  private boolean isMissing(Artifact artifact, long nowNanos) {
    Long until = missingUntil.get(artifact);
    return until != null && until - nowNanos > 0;
  }

  private static boolean shows(DirectoryEntry entry, Artifact artifact) {
    Optional<LoadedModel> model = entry.model(artifact.model());
    return model.isPresent()
        && artifact.adapter().map(model.get().adapters()::contains).orElse(true);
  }

  /** Records that the endpoint does not hold an artifact now, although it may be loading it. */
  void recordMissing(Artifact artifact, long nowNanos) {
    long pause = artifact.adapter().isPresent() ? MISSING_ADAPTER_PAUSE_MS : MISSING_MODEL_PAUSE_MS;
    missingUntil.put(artifact, nowNanos + TimeUnit.MILLISECONDS.toNanos(pause));
  }

  /** Records that an artifact is being unloaded. */
  void recordUnloading(Artifact artifact, long nowNanos) {
    announcedLoaded.remove(artifact);
    missingUntil.put(artifact, nowNanos + TimeUnit.MILLISECONDS.toNanos(UNLOAD_VISIBLE_AFTER_MS));
  }

  void recordLoaded(Artifact artifact) {
    missingUntil.remove(artifact);
    announcedLoaded.add(artifact);
  }
}
