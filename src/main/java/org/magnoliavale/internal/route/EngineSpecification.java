package org.magnoliavale.internal.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the endpoints of a service that run model engines can hold.
 *
 * @param slots requests that run at once on an endpoint
 * @param keyValueTokens memory for tokens on an endpoint
 * @param weightsMb memory for weights and adapters on an endpoint, in megabytes
 * @param adapterSlots adapters that an endpoint holds at most
 * @param loadsPerSecond loads from the weight store a second, over all endpoints
 * @param models the models by name
 */
public record EngineSpecification(
    int slots,
    long keyValueTokens,
    double weightsMb,
    int adapterSlots,
    double loadsPerSecond,
    Map<String, ModelSpecification> models) {
  /** Takes a copy of the models, in their order. */
  public EngineSpecification {
    models = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(models));
  }

  /** Returns a model by its name. */
  public Optional<ModelSpecification> model(String name) {
    return Optional.ofNullable(models.get(name));
  }

  /** Returns the names of all models, in the operator's order. */
  public List<String> modelNames() {
    return List.copyOf(models.keySet());
  }
}
