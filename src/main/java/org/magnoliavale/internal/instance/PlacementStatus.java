package org.magnoliavale.internal.instance;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliavale.internal.routing.RoutingSnapshot;

/**
 * Which endpoints serve each model, as the operator API shows it.
 *
 * @param documentVersion version of the document that the snapshot was built from
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
