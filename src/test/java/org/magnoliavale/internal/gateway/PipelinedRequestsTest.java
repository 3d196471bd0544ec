package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.http.EchoEndpoint;
import org.magnoliavale.internal.http.KeptConnection;
import org.magnoliavale.internal.http.PipeliningCaller;

/** Callers that send the next requests of a connection before they have the answers. */
class PipelinedRequestsTest extends GatewayFixture {
  private static final int BODY_LIMIT_BYTES = 2 << 20;
  private static final int ROUNDS = 25;
  private static final int CONNECTIONS = 4;
  private static final int EXCHANGES = 1_000;

  private EchoEndpoint echo;

  @Override
  InetSocketAddress endpointAddress() {
    return echo.address();
  }

  @Override
  @BeforeEach
  void start() throws Exception {
    echo = new EchoEndpoint();
    super.start();
    configure(configuration(2, BODY_LIMIT_BYTES, standardRoutes()));
  }

  @AfterEach
  void closeEndpoint() throws IOException {
    echo.close();
  }

  private PipeliningCaller caller(long seed) {
    return new PipeliningCaller(instance.callerPort(), "", "/safe/", echo, seed);
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
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> results =
          IntStream.range(0, CONNECTIONS)
              .mapToObj(
                  number ->
                      executor.submit(
                          () ->
                              KeptConnection.exchange(
                                  instance.callerPort(),
                                  "/safe/" + number + "/",
                                  number,
                                  EXCHANGES,
                                  outstanding)))
              .toList();
      for (Future<String> result : results) {
        assertThat(result.get()).isEmpty();
      }
    }
  }
}
