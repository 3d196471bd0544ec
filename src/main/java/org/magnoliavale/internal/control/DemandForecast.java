package org.magnoliavale.internal.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.identifier.ModelId;

/**
 * Smooths the demand for each model. It follows a rise within seconds and a fall within minutes, so
 * that noise moves nothing and a burst is met early.
 */
final class DemandForecast {
  private static final double RISE_WEIGHT = 0.4;
  private static final double FALL_WEIGHT = 0.02;
  private static final double NEGLIGIBLE = 0.01;

  private final Map<ModelId, Double> smoothed = new HashMap<>();

  void measured(Map<ModelId, Double> requestsPerSecond) {
    Set<ModelId> models = new HashSet<>(smoothed.keySet());
    models.addAll(requestsPerSecond.keySet());
    for (ModelId model : models) {
      double now = requestsPerSecond.getOrDefault(model, 0.0);
      double before = smoothed.getOrDefault(model, 0.0);
      double weight = now > before ? RISE_WEIGHT : FALL_WEIGHT;
      double next = before + weight * (now - before);
      if (next < NEGLIGIBLE) {
        smoothed.remove(model);
      } else {
        smoothed.put(model, next);
      }
    }
  }

  Map<ModelId, Double> current() {
    return Map.copyOf(smoothed);
  }
}
