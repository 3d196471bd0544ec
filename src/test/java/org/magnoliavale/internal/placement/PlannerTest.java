package org.magnoliavale.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.placement.EndpointSnapshot.Occupancy;
import org.magnoliavale.internal.placement.Move.Reason;

class PlannerTest {
  private static final ArtifactId A1 = ArtifactId.parse("a@1");
  private static final ArtifactId A2 = ArtifactId.parse("a@2");
  private static final ArtifactId B1 = ArtifactId.parse("b@1");
  private static final EndpointId ENGINE_1 = new EndpointId("engine-1");
  private static final EndpointId ENGINE_2 = new EndpointId("engine-2");
  private static final PoolId POOL = new PoolId("engines");

  private final Map<EndpointId, Map<ArtifactId, Occupancy>> occupancies = new HashMap<>();
  private final Map<ModelId, Double> demand = new HashMap<>();
  private String documentText =
      TestDocuments.base()
          + TestDocuments.endpoint("engine-1", 1, 20, "checking")
          + TestDocuments.endpoint("engine-2", 2, 20, "checking");

  private void put(EndpointId endpoint, ArtifactId artifact, Occupancy occupancy) {
    occupancies.computeIfAbsent(endpoint, ignored -> new HashMap<>()).put(artifact, occupancy);
  }

  private List<Move> plan() {
    Document document = DocumentReader.readAccepted("d.ini", documentText, 1);
    List<EndpointSnapshot> endpoints = new ArrayList<>();
    for (var endpoint : document.endpointsOf(POOL)) {
      Map<ArtifactId, Occupancy> artifacts = occupancies.getOrDefault(endpoint.id(), Map.of());
      long used =
          artifacts.keySet().stream()
              .mapToLong(artifact -> document.models().get(artifact.model()).bytes())
              .sum();
      endpoints.add(
          new EndpointSnapshot(
              endpoint, !endpoint.draining(), endpoint.artifactCapacityBytes() - used, artifacts));
    }
    return new Planner()
        .plan(
            new PlacementInput(
                document.pools().get(POOL),
                document.modelsOf(POOL),
                endpoints,
                demand,
                Map.of(),
                64));
  }

  @Nested
  class MissingReplica {
    @Test
    void isLoadedAtAnEndpointWithFreeMemory() {
      documentText += TestDocuments.model("a", 8);
      assertThat(plan()).containsExactly(new Move.Load(A1, ENGINE_1, 8, Reason.MISSING_REPLICA));
    }

    @Test
    void comesBeforeEverythingElse() {
      documentText += TestDocuments.model("a", 8) + TestDocuments.model("b", 8);
      put(ENGINE_1, A1, Occupancy.READY);
      demand.put(A1.model(), 1_000.0);
      assertThat(plan().getFirst())
          .isEqualTo(new Move.Load(B1, ENGINE_2, 8, Reason.MISSING_REPLICA));
    }

    @Test
    void evictsASurplusReplica() {
      documentText += TestDocuments.model("a", 15) + TestDocuments.model("b", 15);
      put(ENGINE_1, A1, Occupancy.READY);
      put(ENGINE_2, A1, Occupancy.READY);
      assertThat(plan()).containsExactly(new Move.Unload(A1, ENGINE_1, Reason.MAKE_ROOM));
    }

    @Test
    void isDeclinedWhenNothingCanBeEvicted() {
      documentText += TestDocuments.model("a", 15) + TestDocuments.model("b", 15);
      documentText += TestDocuments.model("c", 15);
      put(ENGINE_1, A1, Occupancy.READY);
      put(ENGINE_2, B1, Occupancy.READY);
      assertThat(plan())
          .singleElement()
          .isInstanceOfSatisfying(
              Move.Declined.class,
              declined -> assertThat(declined.reason()).isEqualTo(Reason.NO_ROOM));
    }
  }

  @Nested
  class VersionChange {
    @Test
    void keepsTheOldVersionUntilTheNewOneIsReady() {
      documentText += TestDocuments.model("a", 8) + "version = 2\n";
      put(ENGINE_1, A1, Occupancy.READY);
      put(ENGINE_2, A2, Occupancy.LOADING);
      assertThat(plan()).isEmpty();
    }

    @Test
    void removesTheOldVersionOnceTheNewOneIsReady() {
      documentText += TestDocuments.model("a", 8) + "version = 2\n";
      put(ENGINE_1, A1, Occupancy.READY);
      put(ENGINE_2, A2, Occupancy.READY);
      assertThat(plan()).containsExactly(new Move.Unload(A1, ENGINE_1, Reason.NOT_WANTED));
    }
  }

  @Nested
  class DrainingEndpoint {
    @Test
    void isEmptiedOnlyOnceTheModelIsReadyElsewhere() {
      documentText =
          documentText.replace("[endpoint engine-1]\n", "[endpoint engine-1]\nleaving = true\n");
      documentText += TestDocuments.model("a", 8);
      put(ENGINE_1, A1, Occupancy.READY);
      assertThat(plan()).containsExactly(new Move.Load(A1, ENGINE_2, 8, Reason.MISSING_REPLICA));
      put(ENGINE_2, A1, Occupancy.READY);
      assertThat(plan()).containsExactly(new Move.Unload(A1, ENGINE_1, Reason.ENDPOINT_LEAVING));
    }
  }

  @Nested
  class Demand {
    @Test
    void addsAReplicaWhoseBenefitExceedsItsCost() {
      documentText += TestDocuments.model("a", 8);
      put(ENGINE_1, A1, Occupancy.READY);
      demand.put(A1.model(), 20.0);
      assertThat(plan()).containsExactly(new Move.Load(A1, ENGINE_2, 8, Reason.DEMAND));
    }

    @Test
    void declinesAMoveWhoseBenefitIsBelowItsCost() {
      documentText =
          documentText.replace("loads-at-once = 9", "move-price = 100000")
              + TestDocuments.model("a", 8);
      put(ENGINE_1, A1, Occupancy.READY);
      demand.put(A1.model(), 20.0);
      assertThat(plan())
          .singleElement()
          .isInstanceOfSatisfying(
              Move.Declined.class,
              declined -> assertThat(declined.reason()).isEqualTo(Reason.PRICE));
    }

    @Test
    void leavesASurplusReplicaWhereItIs() {
      documentText += TestDocuments.model("a", 8);
      put(ENGINE_1, A1, Occupancy.READY);
      put(ENGINE_2, A1, Occupancy.READY);
      assertThat(plan()).isEmpty();
    }
  }
}
