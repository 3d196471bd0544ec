package org.magnoliavale.internal.control;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.collection.BoundedMap;
import org.magnoliavale.internal.engine.CommandResult;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Tracks the commands that this instance sends for one pool: those that await a result, and the
 * transmissions that are known to be settled because they were not sent or were refused. Not
 * thread-safe.
 */
final class CommandTracker {
  /** Time after which a command without a result no longer blocks the next one, in milliseconds. */
  static final long COMMAND_TIMEOUT_MS = 3_000;

  private static final int MAXIMUM_SETTLED_TRANSMISSIONS = 4_096;

  private record InFlight(String transmission, long sentAtMs) {}

  private final Map<EndpointId, InFlight> inFlight = new HashMap<>();
  private final Map<String, Boolean> settled =
      BoundedMap.evictingEldest(MAXIMUM_SETTLED_TRANSMISSIONS);
  private final Map<String, Long> lastSentAtMs = new HashMap<>();
  private long fencingCounter;

  void recordSent(EndpointId endpoint, EngineCommand command, long nowMs) {
    inFlight.put(endpoint, new InFlight(command.transmission(), nowMs));
    lastSentAtMs.put(endpoint + "/" + command.artifact(), nowMs);
  }

  void recordResult(EndpointId endpoint, String transmission, CommandResult result) {
    InFlight current = inFlight.get(endpoint);
    if (current != null && current.transmission().equals(transmission)) {
      inFlight.remove(endpoint);
    }
    boolean hadNoEffect =
        result instanceof CommandResult.NotSent || result instanceof CommandResult.Refused;
    if (hadNoEffect) {
      settled.put(transmission, true);
    }
  }

  void recordNotSent(String transmission) {
    settled.put(transmission, true);
  }

  Set<String> knownSettled() {
    return Collections.unmodifiableSet(settled.keySet());
  }

  /** Tells whether an earlier command to this endpoint still awaits its result. */
  boolean isAwaitingResult(EndpointId endpoint, long nowMs) {
    InFlight current = inFlight.get(endpoint);
    return current != null && nowMs - current.sentAtMs() < COMMAND_TIMEOUT_MS;
  }

  /** Tells whether a command for this artifact was sent to this endpoint after {@code sinceMs}. */
  boolean wasSentSince(EndpointId endpoint, String artifact, long sinceMs) {
    Long lastSent = lastSentAtMs.get(endpoint + "/" + artifact);
    return lastSent != null && lastSent > sinceMs;
  }

  long nextFencingCount() {
    fencingCounter++;
    return fencingCounter;
  }
}
