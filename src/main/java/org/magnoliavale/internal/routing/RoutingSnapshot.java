package org.magnoliavale.internal.routing;

import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.identifier.ModelId;

/**
 * What traffic routes by: immutable, replaced as a whole by the control thread.
 *
 * @param document the document in force
 * @param models the endpoints that hold each model
 * @param services the servers of each plain service
 * @param instances live instances of the fleet, this one included
 */
public record RoutingSnapshot(
    Document document,
    Map<ModelId, List<Candidate>> models,
    Map<String, List<Candidate>> services,
    int instances) {
  /** The snapshot of an instance that knows nothing yet. */
  public static final RoutingSnapshot EMPTY =
      new RoutingSnapshot(Document.EMPTY, Map.of(), Map.of(), 1);

  /** Takes copies. */
  public RoutingSnapshot {
    models = Map.copyOf(models);
    services = Map.copyOf(services);
  }
}
