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

/** Builds routing snapshots from residency views. */
public final class SnapshotBuilder {
  private final EndpointLoadRegistry loads;
  private final DataCentreId localDataCentre;

  /** Returns a builder for an instance in data centre {@code localDataCentre}. */
  public SnapshotBuilder(EndpointLoadRegistry loads, DataCentreId localDataCentre) {
    this.loads = loads;
    this.localDataCentre = localDataCentre;
  }

  /** Builds the snapshot of a residency view. */
  public RoutingSnapshot build(ResidencyView view) {
    Document document = view.document();
    Map<DataCentreId, Integer> distances = new HashMap<>();
    document
        .dataCentres()
        .keySet()
        .forEach(
            other -> distances.put(other, document.oneWayMicroseconds(localDataCentre, other)));
    Map<ModelId, List<Candidate>> models = new HashMap<>();
    view.ready()
        .forEach(
            (endpointId, artifacts) -> {
              Endpoint endpoint = document.endpoints().get(endpointId);
              if (endpoint != null) {
                addCandidates(models, endpoint, artifacts, distances);
              }
            });
    return new RoutingSnapshot(document, models, services(document, distances), view.instances());
  }

  private void addCandidates(
      Map<ModelId, List<Candidate>> models,
      Endpoint endpoint,
      Set<ArtifactId> artifacts,
      Map<DataCentreId, Integer> distances) {
    for (ArtifactId artifact : artifacts) {
      if (artifact.adapter() == null) {
        Candidate candidate =
            new Candidate(
                endpoint,
                loads.get(endpoint.id()),
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
      List<Candidate> candidates = new ArrayList<>();
      for (Endpoint endpoint : document.endpointsOf(service.pool())) {
        if (!endpoint.draining()) {
          int distance = distances.getOrDefault(endpoint.dataCentre(), 0);
          candidates.add(new Candidate(endpoint, loads.get(endpoint.id()), 0, Set.of(), distance));
        }
      }
      services.put(service.name(), candidates);
    }
    return services;
  }
}
