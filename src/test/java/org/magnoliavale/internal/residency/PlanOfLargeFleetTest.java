package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.AbstractMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.route.EngineSpecification;

/** What a round of the planner reads in a fleet of many endpoints and models. */
class PlanOfLargeFleetTest {
  private static final int ENDPOINTS = 63;
  private static final int MODELS = 196;
  private static final int MODELS_PER_ENDPOINT = 3;
  private static final int ADAPTERS = 3;

  /** Steps after which the replicas have changed; loads that can wait occupy one in eight. */
  private static final int MAXIMUM_STEPS = ENDPOINTS / 8;

  /** Passes over the demand that a round needs besides one for each endpoint. */
  private static final int FURTHER_PASSES = 10;

  /** Demand that counts how often it is read from begin to end. */
  private static final class CountedDemand extends AbstractMap<Artifact, ArtifactUse> {
    private final Map<Artifact, ArtifactUse> uses = new HashMap<>();
    private int passes;

    @Override
    public Set<Entry<Artifact, ArtifactUse>> entrySet() {
      passes++;
      return uses.entrySet();
    }

    @Override
    public ArtifactUse get(Object key) {
      return uses.get(key);
    }
  }

  private static EngineSpecification engine() {
    return new EngineSpecification(16, 1_000, 230, 8, 13, TestModels.numbered(MODELS, ADAPTERS));
  }

  private static EndpointView view(int index, EngineSpecification engine) {
    Set<Artifact> artifacts = new HashSet<>();
    for (int place = 0; place < MODELS_PER_ENDPOINT; place++) {
      artifacts.add(Artifact.parse("m" + (index * MODELS_PER_ENDPOINT + place)));
    }
    return new EndpointView(
        TestEntries.entry("e" + index, 1),
        engine,
        artifacts,
        Set.of(),
        Set.of(),
        1,
        false,
        Optional.empty(),
        false,
        Set.of(),
        0);
  }

  @Test
  void readsTheDemandForAdaptersOnceForEachEndpoint() {
    EngineSpecification engine = engine();
    List<EndpointView> views = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      views.add(view(i, engine));
    }
    CountedDemand demand = new CountedDemand();
    for (int i = 0; i < MODELS; i++) {
      demand.uses.put(Artifact.parse("m" + i + "/a0"), new ArtifactUse(3, 0, false));
    }
    ResidencyPlanner.plan(views, demand, Map.of(), DemandPhase.KNOWN, true);
    assertThat(demand.passes).isLessThanOrEqualTo((MAXIMUM_STEPS + 1) * ENDPOINTS + FURTHER_PASSES);
  }
}
