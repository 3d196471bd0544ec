package org.magnoliavale.internal.control;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.collection.BoundedMap;
import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.engine.OrderAnswer;
import org.magnoliavale.internal.identifier.EndpointId;

/** Tracks the commands of this process: those unanswered, and those known to have no effect. */
final class OrderBook {
  /** Time after which an unanswered command no longer blocks the next one, in milliseconds. */
  static final long ANSWER_TIMEOUT_MS = 3_000;

  private static final int REMEMBERED_SETTLED = 4_096;

  private record InFlight(String transmission, long sentAtMs) {}

  private final Map<EndpointId, InFlight> inFlight = new HashMap<>();
  private final Map<String, Boolean> settled = BoundedMap.byAge(REMEMBERED_SETTLED);
  private final Map<String, Long> sentAt = new HashMap<>();
  private long fenceCounter;

  void sent(EndpointId endpoint, EngineOrder order, long nowMs) {
    inFlight.put(endpoint, new InFlight(order.transmission(), nowMs));
    sentAt.put(endpoint + "/" + order.artifact(), nowMs);
  }

  void answered(EndpointId endpoint, String transmission, OrderAnswer answer) {
    InFlight current = inFlight.get(endpoint);
    if (current != null && current.transmission().equals(transmission)) {
      inFlight.remove(endpoint);
    }
    boolean didNothing =
        answer instanceof OrderAnswer.NotSent || answer instanceof OrderAnswer.Refused;
    if (didNothing) {
      settled.put(transmission, true);
    }
  }

  void neverSent(String transmission) {
    settled.put(transmission, true);
  }

  Set<String> knownSettled() {
    return Collections.unmodifiableSet(settled.keySet());
  }

  /** Tells whether an earlier command to this endpoint still awaits its answer. */
  boolean isBusy(EndpointId endpoint, long nowMs) {
    InFlight current = inFlight.get(endpoint);
    return current != null && nowMs - current.sentAtMs() < ANSWER_TIMEOUT_MS;
  }

  /** Tells whether a command for this artifact was sent to this endpoint after {@code sinceMs}. */
  boolean wasSentSince(EndpointId endpoint, String artifact, long sinceMs) {
    Long at = sentAt.get(endpoint + "/" + artifact);
    return at != null && at > sinceMs;
  }

  long nextFenceCount() {
    fenceCounter++;
    return fenceCounter;
  }
}
