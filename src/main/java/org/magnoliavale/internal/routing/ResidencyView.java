package org.magnoliavale.internal.routing;

import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Resident artifacts by endpoint, as published by the control thread.
 *
 * @param document the current document
 * @param ready artifacts that can serve requests, by endpoint; of a draining endpoint only those
 *     that it still serves
 * @param instances live instances of the fleet, this one included
 */
public record ResidencyView(
    Document document, Map<EndpointId, Set<ArtifactId>> ready, int instances) {
  /** Copies the map. */
  public ResidencyView {
    ready = Map.copyOf(ready);
  }
}
