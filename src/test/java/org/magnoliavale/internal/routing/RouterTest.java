package org.magnoliavale.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.EndpointId;

class RouterTest {
  private static final int ENDPOINTS = 6;
  private static final long NOW = 1_000;
  private static final ModelName MENU = ModelName.parse("menu");

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
  private final Document document = document();
  private final List<Endpoint> endpoints = List.copyOf(document.endpoints().values());
  private final List<Candidate> candidates = new ArrayList<>();

  private static Document document() {
    StringBuilder text = new StringBuilder(TestDocuments.base());
    for (int i = 1; i <= ENDPOINTS; i++) {
      text.append(TestDocuments.endpoint("engine-" + i, i, 10, "checking"));
    }
    text.append(TestDocuments.model("menu", 5)).append("version = 2\n");
    return DocumentReader.read("d.ini", text.toString(), 1);
  }

  private Candidate add(int endpoint, int version, AdapterId... adapters) {
    Candidate candidate =
        new Candidate(endpoints.get(endpoint), new EndpointLoad(), version, Set.of(adapters), 0);
    candidates.add(candidate);
    return candidate;
  }

  private Optional<EndpointId> choose(String policy, ModelName name, Set<EndpointId> excluded) {
    RoutingSnapshot snapshot =
        new RoutingSnapshot(document, Map.of(MENU.model(), candidates), Map.of(), 8);
    return Router.of(RoutingPolicy.named(policy))
        .selectForModel(snapshot, name, excluded, NOW, random)
        .map(decision -> decision.candidate().endpoint().id());
  }

  private Optional<EndpointId> choose(ModelName name) {
    return choose("earliest-finish", name, Set.of());
  }

  private static EngineReport report(int outstanding) {
    return new EngineReport(
        "a", 1, 0, 0, false, outstanding, 0, outstanding * 64L, List.of(), List.of());
  }

  @Nested
  class Eligibility {
    @Test
    void prefersTheDocumentVersion() {
      add(0, 1);
      EndpointId documentVersion = add(1, 2).endpoint().id();
      assertThat(choose(MENU)).contains(documentVersion);
    }

    @Test
    void selectsAnOldVersionWhileTheDocumentVersionIsNotResident() {
      EndpointId old = add(0, 1).endpoint().id();
      assertThat(choose(MENU)).contains(old);
    }

    @Test
    void requiresTheRequestedAdapter() {
      add(0, 2);
      EndpointId withAdapter = add(1, 2, new AdapterId("a")).endpoint().id();
      assertThat(choose(ModelName.parse("menu:a"))).contains(withAdapter);
    }
  }

  @Nested
  class Health {
    @Test
    void skipsExcludedEndpoints() {
      EndpointId only = add(0, 2).endpoint().id();
      assertThat(choose("earliest-finish", MENU, Set.of(only))).isEmpty();
    }

    @Test
    void skipsUnreachableEndpoints() {
      add(0, 2).load().markUnreachable(NOW + 1);
      assertThat(choose(MENU)).isEmpty();
    }

    @Test
    void usesEjectedEndpointsOnlyWhenNothingElseIsLeft() {
      Candidate ejected = add(0, 2);
      ejected.load().eject(NOW + 1);
      assertThat(choose(MENU)).contains(ejected.endpoint().id());
      EndpointId healthy = add(1, 2).endpoint().id();
      assertThat(choose(MENU)).contains(healthy);
    }
  }

  @Nested
  class OutdatedReport {
    /**
     * Returns the share of the requests that go to the most selected endpoint while the reports
     * stay unchanged and one endpoint reports no load.
     */
    private double largestShare(String policy) {
      for (int i = 0; i < ENDPOINTS; i++) {
        add(i, 2).load().recordReport(report(i == 3 ? 0 : 4));
      }
      Map<EndpointId, Integer> chosen = new HashMap<>();
      int requests = 600;
      for (int i = 0; i < requests; i++) {
        chosen.merge(choose(policy, MENU, Set.of()).orElseThrow(), 1, Integer::sum);
      }
      return Collections.max(chosen.values()) / (double) requests;
    }

    @Test
    void sendsAllRequestsToOneEndpointByReportedLoad() {
      assertThat(largestShare("least-reported")).isEqualTo(1);
    }

    @Test
    void limitsTheLargestShareToThatOfTwoDrawsByEarliestFinish() {
      // Two different draws out of six include a given endpoint with a probability of one third.
      assertThat(largestShare("earliest-finish")).isBetween(0.25, 0.42);
    }
  }

  @Test
  void estimateMultipliesRequestsSentSinceTheReportByInstances() {
    EndpointLoad load = new EndpointLoad();
    load.recordReport(report(4));
    load.begin();
    assertThat(load.estimatedOutstanding(8)).isEqualTo(12);
    load.end();
    assertThat(load.estimatedOutstanding(8)).isEqualTo(4);
  }
}
