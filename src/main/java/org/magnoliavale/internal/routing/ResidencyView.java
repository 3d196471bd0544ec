package org.magnoliavale.internal.routing;

import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * What is resident where, as the control thread publishes it.
 *
 * @param document the document in force
 * @param ready artifacts that can serve requests, by endpoint; leaving endpoints are left out
 * @param instances live instances of the fleet, this one included
 */
public record ResidencyView(
    Document document, Map<EndpointId, Set<ArtifactId>> ready, int instances) {
  /** Takes a copy. */
  public ResidencyView {
    ready = Map.copyOf(ready);
  }
}
