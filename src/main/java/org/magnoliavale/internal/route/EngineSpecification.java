package org.magnoliavale.internal.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Capacity of the model engines of a service, and the models that they can serve.
 *
 * @param slots concurrent requests per endpoint
 * @param keyValueCacheTokens capacity of the key-value cache per endpoint, in tokens
 * @param weightsMb memory for weights and adapters per endpoint, in megabytes
 * @param adapterSlots maximum number of adapters per endpoint
 * @param loadsPerSecond limit of loads from the weight store per second, over all endpoints
 * @param models the models by name
 */
public record EngineSpecification(
    int slots,
    long keyValueCacheTokens,
    double weightsMb,
    int adapterSlots,
    double loadsPerSecond,
    Map<String, ModelSpecification> models) {
  /** Copies the models, keeping their order. */
  public EngineSpecification {
    models = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(models));
  }

  /** Returns a model by its name. */
  public Optional<ModelSpecification> model(String name) {
    return Optional.ofNullable(models.get(name));
  }

  /** Returns the names of all models, in configuration order. */
  public List<String> modelNames() {
    return List.copyOf(models.keySet());
  }
}
