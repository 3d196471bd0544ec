package org.magnoliavale.internal.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.collection.BoundedMap;

/**
 * Keeps the routing decisions and failed attempts of the most recent requests in memory, for the
 * operator's explain path. Thread-safe.
 */
public final class DecisionMemory {
  private static final int REMEMBERED_REQUESTS = 4_096;
  private static final int LINES_PER_REQUEST = 16;

  private final Map<String, List<String>> lines = BoundedMap.byAge(REMEMBERED_REQUESTS);

  /** Appends a line to a request's history; lines beyond the limit per request are dropped. */
  public synchronized void remember(String requestId, String line) {
    List<String> known = lines.computeIfAbsent(requestId, ignored -> new ArrayList<>(2));
    if (known.size() < LINES_PER_REQUEST) {
      known.add(line);
    }
  }

  /** Returns a request's lines in the order of their addition; empty if it is not known. */
  public synchronized List<String> explain(String requestId) {
    return List.copyOf(lines.getOrDefault(requestId, List.of()));
  }
}
