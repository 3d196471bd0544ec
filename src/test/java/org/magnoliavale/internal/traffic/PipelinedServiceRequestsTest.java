package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.http.KeptConnection;
import org.magnoliavale.internal.http.PipeliningCaller;

/** Callers of a plain service that send the next requests before they have the answers. */
class PipelinedServiceRequestsTest extends EchoServiceFixture {
  private static final int ROUNDS = 25;
  private static final int EXCHANGES = 1_000;

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
