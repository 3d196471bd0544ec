package org.magnoliavale.internal.placement;

import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.identifier.ModelId;

/**
 * Input of a placement round.
 *
 * @param pool the pool, with its cost of a move
 * @param models the models that the pool serves
 * @param endpoints the pool's endpoints
 * @param demand forecast demand by model, in requests per second
 * @param typicalDemand mean demand over many minutes by model, in requests per second
 * @param tokensPerRequest mean number of tokens of a request
 */
public record PlacementInput(
    Pool pool,
    List<Model> models,
    List<EndpointSnapshot> endpoints,
    Map<ModelId, Double> demand,
    Map<ModelId, Double> typicalDemand,
    double tokensPerRequest) {
  /** Copies the lists and maps. */
  public PlacementInput {
    models = List.copyOf(models);
    endpoints = List.copyOf(endpoints);
    demand = Map.copyOf(demand);
    typicalDemand = Map.copyOf(typicalDemand);
  }

  /** Returns a model's forecast demand in requests per second. */
  public double demandOf(ModelId model) {
    return demand.getOrDefault(model, 0.0);
  }

  /** Returns a model's typical demand in requests per second. */
  public double typicalDemandOf(ModelId model) {
    return typicalDemand.getOrDefault(model, 0.0);
  }
}
