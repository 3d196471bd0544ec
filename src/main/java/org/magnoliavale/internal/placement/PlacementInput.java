package org.magnoliavale.internal.placement;

import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.identifier.ModelId;

/**
 * Everything that a placement round decides by.
 *
 * @param pool the pool and its price of a move
 * @param models the models that the pool serves
 * @param endpoints the pool's endpoints
 * @param demand requests a second for each model, forecast
 * @param typicalDemand requests a second for each model, over many minutes
 * @param tokensPerRequest mean tokens of a request
 */
public record PlacementInput(
    Pool pool,
    List<Model> models,
    List<PlacedEndpoint> endpoints,
    Map<ModelId, Double> demand,
    Map<ModelId, Double> typicalDemand,
    double tokensPerRequest) {
  /** Takes copies. */
  public PlacementInput {
    models = List.copyOf(models);
    endpoints = List.copyOf(endpoints);
    demand = Map.copyOf(demand);
    typicalDemand = Map.copyOf(typicalDemand);
  }

  /** Returns a model's forecast demand in requests a second. */
  public double demandOf(ModelId model) {
    return demand.getOrDefault(model, 0.0);
  }

  /** Returns a model's typical demand in requests a second. */
  public double typicalDemandOf(ModelId model) {
    return typicalDemand.getOrDefault(model, 0.0);
  }
}
