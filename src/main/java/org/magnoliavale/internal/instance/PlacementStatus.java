package org.magnoliavale.internal.instance;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliavale.internal.routing.RoutingSnapshot;

/**
 * Endpoints that serve each model, in the operator API.
 *
 * @param documentVersion version of the document from which the routing snapshot was built
 * @param models endpoints by model, each as {@code endpoint@version}
 */
public record PlacementStatus(long documentVersion, Map<String, List<String>> models) {
  static PlacementStatus of(RoutingSnapshot snapshot) {
    Map<String, List<String>> models = new TreeMap<>();
    snapshot.document().models().keySet().forEach(model -> models.put(model.value(), List.of()));
    snapshot
        .models()
        .forEach(
            (model, candidates) ->
                models.put(
                    model.value(),
                    candidates.stream()
                        .map(candidate -> candidate.endpoint().id() + "@" + candidate.version())
                        .sorted()
                        .toList()));
    return new PlacementStatus(snapshot.document().version(), models);
  }
}
