package org.magnoliavale.internal.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.collection.BoundedMap;

/** Remembers the latest requests' decisions, so that an operator can ask why one went somewhere. */
public final class DecisionMemory {
  private static final int REMEMBERED_REQUESTS = 4_096;
  private static final int LINES_PER_REQUEST = 16;

  private final Map<String, List<String>> lines = BoundedMap.evictingEldest(REMEMBERED_REQUESTS);

  /** Adds a line about a request. */
  public synchronized void remember(String requestId, String line) {
    List<String> known = lines.computeIfAbsent(requestId, ignored -> new ArrayList<>(2));
    if (known.size() < LINES_PER_REQUEST) {
      known.add(line);
    }
  }

  /** Returns what is remembered of a request, in order. */
  public synchronized List<String> explain(String requestId) {
    return List.copyOf(lines.getOrDefault(requestId, List.of()));
  }
}
