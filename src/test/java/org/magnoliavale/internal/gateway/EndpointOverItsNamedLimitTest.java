package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliavale.internal.Seeds;

class EndpointOverItsNamedLimitTest {
  private static final int BEFORE_MS = 2_000;
  private static final int LIMITED_MS = 16_000;
  private static final double REQUESTS_PER_SECOND = 100;

  /** Share of a named limit that callers get while they ask for much more. */
  private static final double USED_SHARE = 0.7;

  private LimitedFleet fleet;

  private void start(int seed, int instances, int endpoints) {
    fleet = new LimitedFleet(seed, instances, endpoints);
  }

  private void assertKept(LimitedEndpoint endpoint, double limit) {
    assertThat(endpoint.worstWindow()).isLessThanOrEqualTo((int) LimitedEndpoint.allowed(limit));
  }

  private void assertUsed(LimitedEndpoint endpoint, double limit) {
    int fromMs = fleet.nowMs() - LIMITED_MS + LimitedEndpoint.STABLE_MS;
    double seconds = (fleet.nowMs() - fromMs) / 1_000.0;
    assertThat(endpoint.requestsSince(fromMs))
        .isGreaterThanOrEqualTo((int) (USED_SHARE * limit * seconds));
  }

  @Nested
  class OneOfFour {
    @ParameterizedTest
    @CsvSource({"4, 2.4", "8, 1.9", "8, 3.1", "8, 0.2", "12, 0.5", "30, 2.4"})
    void getsNoMoreThanItTakesFromAllInstancesTogether(int instances, double limit) {
      start(1, instances, 4);
      fleet.run(BEFORE_MS, REQUESTS_PER_SECOND, instances);
      fleet.endpoint(0).nameLimit(limit);
      fleet.run(LIMITED_MS, REQUESTS_PER_SECOND, instances);
      assertKept(fleet.endpoint(0), limit);
      assertThat(fleet.outcomes()).allMatch(outcome -> outcome.status() == 200);
    }
  }

  @Nested
  class AllOfFour {
    @ParameterizedTest
    @CsvSource({"4, 2.4", "8, 1.9", "8, 3.1", "8, 0.2", "8, 20"})
    void getWhatTheyTakeAndNoMoreAndOtherCallersAreRejectedAtOnce(int instances, double limit) {
      start(1, instances, 4);
      fleet.run(BEFORE_MS, REQUESTS_PER_SECOND, instances);
      fleet.endpoints().forEach(endpoint -> endpoint.nameLimit(limit));
      fleet.run(LIMITED_MS, REQUESTS_PER_SECOND, instances);
      for (LimitedEndpoint endpoint : fleet.endpoints()) {
        assertKept(endpoint, limit);
        assertUsed(endpoint, limit);
      }
      assertThat(fleet.outcomes())
          .allMatch(outcome -> outcome.status() == 200 || outcome.waitedMs() == 0);
    }

    @Test
    void areUsedInFullThoughAllCallersAreAtOneInstance() {
      start(1, 8, 4);
      fleet.run(BEFORE_MS, REQUESTS_PER_SECOND, 1);
      fleet.endpoints().forEach(endpoint -> endpoint.nameLimit(5));
      fleet.run(LIMITED_MS, REQUESTS_PER_SECOND, 1);
      for (LimitedEndpoint endpoint : fleet.endpoints()) {
        assertKept(endpoint, 5);
        assertUsed(endpoint, 5);
      }
    }
  }

  @Nested
  class LimitThatChanges {
    @Test
    void lowerLimitIsInForceWithinSeconds() {
      start(1, 8, 4);
      fleet.endpoint(0).nameLimit(20);
      fleet.run(LIMITED_MS, REQUESTS_PER_SECOND, 8);
      fleet.endpoint(0).nameLimit(2);
      fleet.run(LIMITED_MS, REQUESTS_PER_SECOND, 8);
      assertKept(fleet.endpoint(0), 2);
    }

    @Test
    void endpointWithoutItsLimitGetsItsShareAgain() {
      start(1, 8, 4);
      fleet.endpoint(0).nameLimit(2);
      fleet.run(LIMITED_MS, REQUESTS_PER_SECOND, 8);
      assertKept(fleet.endpoint(0), 2);
      fleet.endpoint(0).nameNoLimit();
      fleet.run(LIMITED_MS, REQUESTS_PER_SECOND, 8);
      int lastMs = fleet.nowMs() - 5_000;
      assertThat(fleet.endpoint(0).requestsSince(lastMs)).isGreaterThan(60);
    }
  }

  static List<Integer> seeds() {
    return Seeds.upTo(20);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void limitIsKeptBesideRestartsAndCutLinks(int seed) {
    Random random = new Random(seed);
    int instances = 3 + random.nextInt(10);
    double limit = 0.2 + 6 * random.nextDouble();
    double requestsPerSecond = 10 + 100 * random.nextDouble();
    start(seed, instances, 4);
    int limited = 1 + random.nextInt(4);
    fleet.run(BEFORE_MS, requestsPerSecond, instances);
    for (int i = 0; i < limited; i++) {
      fleet.endpoint(i).nameLimit(limit);
    }
    for (int i = 0; i < 12; i++) {
      fleet.run(random.nextInt(2_000), requestsPerSecond, 1 + random.nextInt(instances));
      LimitedFleet.Instance instance = fleet.instance(random.nextInt(instances));
      if (random.nextBoolean()) {
        instance.restart(500 + random.nextInt(1_500));
      } else {
        instance.cutFromPeers(500 + random.nextInt(8_000));
      }
    }
    for (int i = 0; i < limited; i++) {
      assertKept(fleet.endpoint(i), limit);
    }
  }
}
