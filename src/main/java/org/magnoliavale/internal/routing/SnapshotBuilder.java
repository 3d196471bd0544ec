package org.magnoliavale.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.PlainService;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.ModelId;

/** Builds routing snapshots from what is resident where. */
public final class SnapshotBuilder {
  private final EndpointLoads loads;
  private final DataCentreId here;

  /** Returns a builder for an instance in data centre {@code here}. */
  public SnapshotBuilder(EndpointLoads loads, DataCentreId here) {
    this.loads = loads;
    this.here = here;
  }

  /** Returns the snapshot of a residency view. */
  public RoutingSnapshot build(ResidencyView view) {
    Document document = view.document();
    Map<DataCentreId, Integer> distances = new HashMap<>();
    document
        .dataCentres()
        .keySet()
        .forEach(other -> distances.put(other, document.oneWayMicroseconds(here, other)));
    Map<ModelId, List<Candidate>> models = new HashMap<>();
    view.ready()
        .forEach(
            (endpointId, artifacts) -> {
              Endpoint endpoint = document.endpoints().get(endpointId);
              if (endpoint != null) {
                addEngine(models, endpoint, artifacts, distances);
              }
            });
    return new RoutingSnapshot(document, models, services(document, distances), view.instances());
  }

  private void addEngine(
      Map<ModelId, List<Candidate>> models,
      Endpoint endpoint,
      Set<ArtifactId> artifacts,
      Map<DataCentreId, Integer> distances) {
    for (ArtifactId artifact : artifacts) {
      if (artifact.adapter() == null) {
        Candidate candidate =
            new Candidate(
                endpoint,
                loads.of(endpoint.id()),
                artifact.version(),
                adaptersOf(artifact, artifacts),
                distances.getOrDefault(endpoint.dataCentre(), 0));
        models.computeIfAbsent(artifact.model(), ignored -> new ArrayList<>()).add(candidate);
      }
    }
  }

  private static Set<AdapterId> adaptersOf(ArtifactId weights, Set<ArtifactId> artifacts) {
    Set<AdapterId> adapters = new HashSet<>();
    for (ArtifactId artifact : artifacts) {
      if (artifact.adapter() != null && artifact.weights().equals(weights)) {
        adapters.add(artifact.adapter());
      }
    }
    return adapters;
  }

  private Map<String, List<Candidate>> services(
      Document document, Map<DataCentreId, Integer> distances) {
    Map<String, List<Candidate>> services = new HashMap<>();
    for (PlainService service : document.services().values()) {
      List<Candidate> servers = new ArrayList<>();
      for (Endpoint endpoint : document.endpointsOf(service.pool())) {
        if (!endpoint.draining()) {
          int distance = distances.getOrDefault(endpoint.dataCentre(), 0);
          servers.add(new Candidate(endpoint, loads.of(endpoint.id()), 0, Set.of(), distance));
        }
      }
      services.put(service.name(), servers);
    }
    return services;
  }
}
