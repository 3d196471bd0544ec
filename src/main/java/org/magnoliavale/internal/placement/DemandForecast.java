package org.magnoliavale.internal.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.identifier.ModelId;

/**
 * Exponentially smoothed demand for each model: a forecast that follows a rise within seconds and a
 * fall within minutes, and the typical demand over many minutes, which sizes the reserve for future
 * bursts. Not thread-safe.
 */
public final class DemandForecast {
  private static final double RISE_WEIGHT = 0.1;
  private static final double FALL_WEIGHT = 0.02;
  private static final double TYPICAL_WEIGHT = 0.002;
  private static final double NEGLIGIBLE_REQUESTS_PER_SECOND = 0.001;

  private final Map<ModelId, Double> current = new HashMap<>();
  private final Map<ModelId, Double> typical = new HashMap<>();

  /** Adds a sample of requests per second by model; a model that is absent had no requests. */
  public void addSample(Map<ModelId, Double> requestsPerSecond) {
    Set<ModelId> models = new HashSet<>(typical.keySet());
    models.addAll(current.keySet());
    models.addAll(requestsPerSecond.keySet());
    for (ModelId model : models) {
      double now = requestsPerSecond.getOrDefault(model, 0.0);
      double before = current.getOrDefault(model, 0.0);
      smooth(current, model, now, now > before ? RISE_WEIGHT : FALL_WEIGHT);
      smooth(typical, model, now, TYPICAL_WEIGHT);
    }
  }

  private static void smooth(
      Map<ModelId, Double> smoothed, ModelId model, double now, double weight) {
    double before = smoothed.getOrDefault(model, 0.0);
    double next = before + weight * (now - before);
    if (next < NEGLIGIBLE_REQUESTS_PER_SECOND && now == 0) {
      smoothed.remove(model);
    } else {
      smoothed.put(model, next);
    }
  }

  /** Returns the forecast in requests per second by model. */
  public Map<ModelId, Double> current() {
    return Map.copyOf(current);
  }

  /** Returns the typical demand in requests per second by model. */
  public Map<ModelId, Double> typical() {
    return Map.copyOf(typical);
  }
}
