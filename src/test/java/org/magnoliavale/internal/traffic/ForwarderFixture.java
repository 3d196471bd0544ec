package org.magnoliavale.internal.traffic;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.routing.Candidate;
import org.magnoliavale.internal.routing.EndpointLoad;
import org.magnoliavale.internal.routing.ModelName;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.routing.RoutingSnapshot;
import org.magnoliavale.internal.settings.EngineSettings;

/** A {@link Forwarder} with a scripted sender and four endpoints that hold model {@code menu}. */
abstract class ForwarderFixture {
  private static final EngineSettings SETTINGS =
      new EngineSettings(
          8,
          Duration.ofSeconds(1),
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          1024);

  final ScriptedSender sender = new ScriptedSender();
  final RetryBudget budget = new RetryBudget();
  final CrashRegistry crashes = new CrashRegistry("self", InstantSource.system());
  final RoutingSnapshot snapshot = snapshot();
  final List<String> probedIncarnations = new ArrayList<>();
  boolean endpointCrashed = true;

  private static RoutingSnapshot snapshot() {
    StringBuilder text = new StringBuilder(TestDocuments.base());
    for (int i = 1; i <= 4; i++) {
      text.append(TestDocuments.endpoint("engine-" + i, i, 10, "checking"));
    }
    text.append(TestDocuments.model("menu", 5));
    Document document = DocumentReader.read("d.ini", text.toString(), 1);
    List<Candidate> candidates = new ArrayList<>();
    document
        .endpoints()
        .values()
        .forEach(
            endpoint ->
                candidates.add(new Candidate(endpoint, new EndpointLoad(), 1, Set.of(), 0)));
    return new RoutingSnapshot(
        document, Map.of(ModelName.parse("menu").model(), candidates), Map.of(), 1);
  }

  Forwarder forwarder() {
    EndpointSelector endpointSelector =
        new EndpointSelector(
            Router.of(RoutingPolicy.named("earliest-finish")),
            () -> snapshot,
            () -> RandomGeneratorFactory.of("L64X128MixRandom").create(1),
            new RoutingDecisionHistory());
    CrashGuard guard =
        new CrashGuard(
            crashes,
            (endpoint, incarnation) -> {
              probedIncarnations.add(incarnation);
              return endpointCrashed;
            });
    return new Forwarder(sender, SETTINGS, endpointSelector, budget, guard);
  }

  static RequestContext context(Duration deadline) {
    return new RequestContext(
        "request", System.nanoTime() + deadline.toNanos(), 0, RequestContext.ANONYMOUS, null);
  }
}
