package org.magnoliavale.internal.control;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.collection.BoundedMap;
import org.magnoliavale.internal.engine.CommandResult;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.identifier.EndpointId;

/** The orders that this process has sent: which are unanswered, and which certainly did nothing. */
final class OrderBook {
  /** Time after which an unanswered order no longer holds up the next one, in milliseconds. */
  static final long ANSWER_TIMEOUT_MS = 3_000;

  private static final int REMEMBERED_SETTLED = 4_096;

  private record InFlight(String transmission, long sentAtMs) {}

  private final Map<EndpointId, InFlight> inFlight = new HashMap<>();
  private final Map<String, Boolean> settled = BoundedMap.byAge(REMEMBERED_SETTLED);
  private final Map<String, Long> sentAt = new HashMap<>();
  private long fenceCounter;

  void sent(EndpointId endpoint, EngineCommand order, long nowMs) {
    inFlight.put(endpoint, new InFlight(order.transmission(), nowMs));
    sentAt.put(endpoint + "/" + order.artifact(), nowMs);
  }

  void answered(EndpointId endpoint, String transmission, CommandResult answer) {
    InFlight current = inFlight.get(endpoint);
    if (current != null && current.transmission().equals(transmission)) {
      inFlight.remove(endpoint);
    }
    boolean didNothing =
        answer instanceof CommandResult.NotSent || answer instanceof CommandResult.Refused;
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

  /** Tells whether an order to this endpoint must wait for the answer to an earlier one. */
  boolean isBusy(EndpointId endpoint, long nowMs) {
    InFlight current = inFlight.get(endpoint);
    return current != null && nowMs - current.sentAtMs() < ANSWER_TIMEOUT_MS;
  }

  /** Tells whether an order about an artifact was sent so recently that it is not repeated yet. */
  boolean wasSentSince(EndpointId endpoint, String artifact, long sinceMs) {
    Long at = sentAt.get(endpoint + "/" + artifact);
    return at != null && at > sinceMs;
  }

  long nextFenceCount() {
    fenceCounter++;
    return fenceCounter;
  }
}
