package org.magnoliavale.internal.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Since when endpoints have been leaving. A leaving endpoint gets no new work, except that for a
 * short while it still serves what no other endpoint has ready.
 */
final class LeavingEndpoints {
  /** Time after which a leaving endpoint gets no new work whatever it alone holds. */
  static final long GRACE_MS = 2_500;

  private final Map<EndpointId, Long> sinceMs = new HashMap<>();

  boolean any() {
    return !sinceMs.isEmpty();
  }

  /** Removes from {@code ready} what leaving endpoints are not to serve any more. */
  void keepOnlyUnserved(
      Document document,
      Map<EndpointId, Set<ArtifactId>> ready,
      Set<ArtifactId> servedByStaying,
      long nowMs) {
    sinceMs.keySet().removeIf(endpoint -> !isLeaving(document, endpoint));
    for (Endpoint endpoint : document.endpoints().values()) {
      if (!endpoint.draining()) {
        continue;
      }
      long since = sinceMs.computeIfAbsent(endpoint.id(), ignored -> nowMs);
      Set<ArtifactId> kept = new HashSet<>(ready.getOrDefault(endpoint.id(), Set.of()));
      kept.removeAll(servedByStaying);
      if (kept.isEmpty() || nowMs - since >= GRACE_MS) {
        ready.remove(endpoint.id());
      } else {
        ready.put(endpoint.id(), kept);
      }
    }
  }

  private static boolean isLeaving(Document document, EndpointId id) {
    Endpoint endpoint = document.endpoints().get(id);
    return endpoint != null && endpoint.draining();
  }
}
