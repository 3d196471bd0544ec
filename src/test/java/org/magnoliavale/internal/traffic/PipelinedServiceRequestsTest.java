package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.http.EchoEndpoint;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.KeptConnection;
import org.magnoliavale.internal.http.PipeliningCaller;
import org.magnoliavale.internal.routing.Candidate;
import org.magnoliavale.internal.routing.EndpointLoad;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.routing.RoutingSnapshot;
import org.magnoliavale.internal.settings.CallerSettings;
import org.magnoliavale.internal.settings.EngineSettings;

/** Callers of a plain service that send the next requests before they have the answers. */
class PipelinedServiceRequestsTest {
  private static final int MAXIMUM_BYTES = 2 << 20;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final int MAXIMUM_REQUESTS = 100;
  private static final int ROUNDS = 25;
  private static final int EXCHANGES = 1_000;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String PREFIX = "/services/ordering";

  private final EngineSettings engineSettings =
      new EngineSettings(8, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, MAXIMUM_BYTES);
  private final EndpointClient client = EndpointClient.of(engineSettings);
  private EchoEndpoint echo;
  private Server server;
  private int port;

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

  private PipeliningCaller caller(long seed) {
    return new PipeliningCaller(port, PREFIX, "/", echo, seed);
  }

  /** Guards against requests that are lost, or run with other bytes, while one is at work. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void areForwardedAsSentAndAnswered(long seed) throws Exception {
    assertThat(caller(seed).sendRandomRounds(ROUNDS)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void areForwardedAsSentWhereverTheyAreCut(boolean chunked) throws Exception {
    assertThat(caller(1).cutAtEachPlace(chunked)).isEmpty();
  }

  /** Guards against a request that is lost as it comes while the answer before it ends. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void areAnsweredHoweverCloseTheyFollowTheLastAnswer(int outstanding) throws Exception {
    assertThat(KeptConnection.exchange(port, PREFIX + "/", 1, EXCHANGES, outstanding)).isEmpty();
  }
}
