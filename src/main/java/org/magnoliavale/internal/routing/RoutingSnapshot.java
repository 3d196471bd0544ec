package org.magnoliavale.internal.routing;

import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.identifier.ModelId;

/**
 * The routing state of an instance: immutable, replaced as a whole by the control thread.
 *
 * @param document the current document
 * @param models the endpoints that hold each model
 * @param services the endpoints of each plain service
 * @param instances live instances of the fleet, this one included
 */
public record RoutingSnapshot(
    Document document,
    Map<ModelId, List<Candidate>> models,
    Map<String, List<Candidate>> services,
    int instances) {
  /** The initial snapshot, without endpoints. */
  public static final RoutingSnapshot EMPTY =
      new RoutingSnapshot(Document.EMPTY, Map.of(), Map.of(), 1);

  /** Copies the maps. */
  public RoutingSnapshot {
    models = Map.copyOf(models);
    services = Map.copyOf(services);
  }
}
