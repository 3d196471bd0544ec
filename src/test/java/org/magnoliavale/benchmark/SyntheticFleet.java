package org.magnoliavale.benchmark;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.placement.EndpointSnapshot;
import org.magnoliavale.internal.placement.PlacementInput;
import org.magnoliavale.internal.routing.ResidencyView;

/** Synthetic fleet of a given size, in memory; four models are loaded on each engine. */
final class SyntheticFleet {
  private static final int MODELS_PER_ENDPOINT = 4;
  private static final PoolId POOL = new PoolId("engines");

  private final Document document;
  private final Map<EndpointId, Set<ArtifactId>> ready = new HashMap<>();

  SyntheticFleet(int endpoints, int models) {
    StringBuilder text = new StringBuilder(TestDocuments.base());
    for (int i = 0; i < endpoints; i++) {
      text.append(TestDocuments.endpoint("engine-" + i, 1_000 + i, 50, "checking"));
    }
    for (int i = 0; i < models; i++) {
      text.append(TestDocuments.model("model-" + i, 10));
    }
    document = DocumentReader.readAccepted("d.ini", text.toString(), 1);
    List<Model> modelList = List.copyOf(document.models().values());
    int next = 0;
    for (Endpoint endpoint : document.endpointsOf(POOL)) {
      Set<ArtifactId> artifacts = new HashSet<>();
      for (int i = 0; i < MODELS_PER_ENDPOINT; i++) {
        artifacts.add(modelList.get(next % modelList.size()).weights());
        next++;
      }
      ready.put(endpoint.id(), artifacts);
    }
  }

  Document document() {
    return document;
  }

  ResidencyView view() {
    return new ResidencyView(document, ready, 8);
  }

  EngineReport report(EndpointId endpoint, long sequence) {
    List<ResidentArtifact> residents = new ArrayList<>();
    for (ArtifactId artifact : ready.get(endpoint)) {
      residents.add(new ResidentArtifact(artifact.toString(), 10, true));
    }
    return new EngineReport("a", sequence, 50, 0, false, 4, 0, 256, residents, List.of());
  }

  PlacementInput input() {
    List<EndpointSnapshot> snapshots = new ArrayList<>();
    for (Endpoint endpoint : document.endpointsOf(POOL)) {
      Map<ArtifactId, EndpointSnapshot.Occupancy> artifacts = new HashMap<>();
      ready
          .get(endpoint.id())
          .forEach(artifact -> artifacts.put(artifact, EndpointSnapshot.Occupancy.READY));
      snapshots.add(new EndpointSnapshot(endpoint, true, 50 - 10L * artifacts.size(), artifacts));
    }
    Map<ModelId, Double> demand = new HashMap<>();
    int rank = 1;
    for (ModelId model : document.models().keySet()) {
      demand.put(model, 500.0 / rank);
      rank++;
    }
    return new PlacementInput(
        document.pools().get(POOL), document.modelsOf(POOL), snapshots, demand, demand, 64);
  }
}
