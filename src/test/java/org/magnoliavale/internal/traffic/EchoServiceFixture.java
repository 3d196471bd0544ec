package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import org.eclipse.jetty.server.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.http.EchoEndpoint;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.routing.Candidate;
import org.magnoliavale.internal.routing.EndpointLoad;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.routing.RoutingSnapshot;
import org.magnoliavale.internal.settings.CallerSettings;
import org.magnoliavale.internal.settings.EngineSettings;

/** The server for callers, before an endpoint of a plain service that echoes what it gets. */
abstract class EchoServiceFixture {
  private static final int MAXIMUM_BYTES = 2 << 20;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final int MAXIMUM_REQUESTS = 100;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  static final String PREFIX = "/services/ordering";

  private final EngineSettings engineSettings =
      new EngineSettings(8, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, MAXIMUM_BYTES);
  private final EndpointClient client = EndpointClient.of(engineSettings);
  EchoEndpoint echo;
  private Server server;
  int port;

  @BeforeEach
  void start() throws Exception {
    echo = new EchoEndpoint();
    client.start();
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    CallerSettings settings =
        new CallerSettings(
            any,
            MAXIMUM_BYTES,
            MAXIMUM_HEADER_BYTES,
            MAXIMUM_REQUESTS,
            TIMEOUT,
            TIMEOUT,
            TIMEOUT,
            TIMEOUT);
    HealthChecks healthChecks = new HealthChecks();
    healthChecks.setReady(true);
    CallerHandler handler =
        new CallerHandler(
            settings,
            forwarder(),
            (context, service, headers, template) -> {
              throw new AssertionError("idempotent request was sent as a non-idempotent one");
            },
            new DemandCounter(),
            new RequestLimiter(MAXIMUM_REQUESTS),
            healthChecks);
    server = HttpServers.create("caller", any, MAXIMUM_HEADER_BYTES, TIMEOUT, handler);
    port = HttpServers.start(server);
  }

  @AfterEach
  void stop() throws IOException {
    HttpServers.stop(server);
    client.stop();
    echo.close();
  }

  private Forwarder forwarder() {
    String text =
        TestDocuments.base() + TestDocuments.serviceEndpoint("service-1", echo.address().getPort());
    Document document = DocumentReader.read("d.ini", text, 1);
    List<Candidate> candidates =
        document.endpoints().values().stream()
            .map(endpoint -> new Candidate(endpoint, new EndpointLoad(), 1, Set.of(), 0))
            .toList();
    RoutingSnapshot snapshot =
        new RoutingSnapshot(document, Map.of(), Map.of("ordering", candidates), 1);
    EndpointSelector endpointSelector =
        new EndpointSelector(
            Router.of(RoutingPolicy.named("earliest-finish")),
            () -> snapshot,
            () -> RandomGeneratorFactory.of("L64X128MixRandom").create(1),
            new RoutingDecisionHistory());
    CrashGuard guard =
        new CrashGuard(
            new CrashRegistry("self", InstantSource.system()), (endpoint, incarnation) -> false);
    return new Forwarder(client, engineSettings, endpointSelector, new RetryBudget(), guard);
  }
}
