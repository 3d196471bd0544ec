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
 * Tracks how long each endpoint has been marked as draining. A draining endpoint gets no new
 * requests, except that during a grace period it still serves artifacts that are ready nowhere
 * else.
 */
final class DrainingEndpoints {
  /** Time after which a draining endpoint gets no new requests at all. */
  static final long GRACE_PERIOD_MS = 2_500;

  private final Map<EndpointId, Long> drainingSinceMs = new HashMap<>();

  boolean any() {
    return !drainingSinceMs.isEmpty();
  }

  /** Removes from {@code ready} the artifacts that draining endpoints may no longer serve. */
  void retainServable(
      Document document,
      Map<EndpointId, Set<ArtifactId>> ready,
      Set<ArtifactId> readyOnRemainingEndpoints,
      long nowMs) {
    drainingSinceMs.keySet().removeIf(endpoint -> !isDraining(document, endpoint));
    for (Endpoint endpoint : document.endpoints().values()) {
      if (!endpoint.draining()) {
        continue;
      }
      long since = drainingSinceMs.computeIfAbsent(endpoint.id(), ignored -> nowMs);
      Set<ArtifactId> servable = new HashSet<>(ready.getOrDefault(endpoint.id(), Set.of()));
      servable.removeAll(readyOnRemainingEndpoints);
      if (servable.isEmpty() || nowMs - since >= GRACE_PERIOD_MS) {
        ready.remove(endpoint.id());
      } else {
        ready.put(endpoint.id(), servable);
      }
    }
  }

  private static boolean isDraining(Document document, EndpointId id) {
    Endpoint endpoint = document.endpoints().get(id);
    return endpoint != null && endpoint.draining();
  }
}
