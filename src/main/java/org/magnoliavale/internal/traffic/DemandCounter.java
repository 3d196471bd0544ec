package org.magnoliavale.internal.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.routing.ModelName;

/** Counts the requests for each model since the last call of {@code drain}. Thread-safe. */
public final class DemandCounter {
  private final Map<ModelId, LongAdder> counts = new ConcurrentHashMap<>();

  /** Counts one request. */
  public void count(ModelName name) {
    counts.computeIfAbsent(name.model(), ignored -> new LongAdder()).increment();
  }

  /** Returns the counts of the models that had requests, and resets all counts to zero. */
  public Map<ModelId, Long> drain() {
    Map<ModelId, Long> drained = new HashMap<>();
    counts.forEach(
        (model, count) -> {
          long requests = count.sumThenReset();
          if (requests > 0) {
            drained.put(model, requests);
          }
        });
    return drained;
  }
}
