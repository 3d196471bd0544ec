package org.magnoliavale.internal.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.collection.BoundedMap;

/**
 * Keeps the routing decisions and failed attempts of the most recent requests in memory, for the
 * {@code /explain/} path of the operator port. Thread-safe.
 */
public final class RoutingDecisionHistory {
  private static final int MAXIMUM_REQUESTS = 4_096;
  private static final int MAXIMUM_LINES_PER_REQUEST = 16;

  private final Map<String, List<String>> linesByRequest =
      BoundedMap.evictingEldest(MAXIMUM_REQUESTS);

  /** Appends a line to a request's history; lines beyond the limit per request are dropped. */
  public synchronized void add(String requestId, String line) {
    List<String> requestLines =
        linesByRequest.computeIfAbsent(requestId, ignored -> new ArrayList<>(2));
    if (requestLines.size() < MAXIMUM_LINES_PER_REQUEST) {
      requestLines.add(line);
    }
  }

  /** Returns a request's lines in the order of their addition, or none if it is not known. */
  public synchronized List<String> explain(String requestId) {
    return List.copyOf(linesByRequest.getOrDefault(requestId, List.of()));
  }
}
