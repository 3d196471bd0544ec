package org.magnoliavale.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliavale.internal.Seeds;

class LimitShareTest {
  private static final double PRECISION = 1e-6;

  static List<Integer> seeds() {
    return Seeds.upTo(50);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void sharesAddUpToTheLimitAndFollowTheDemandOfFewEnoughInstances(int seed) {
    Random random = new Random(seed);
    double limit = 0.05 + 30 * random.nextDouble() * random.nextDouble();
    Map<String, Double> demand = new HashMap<>();
    int instances = 1 + random.nextInt(200);
    for (int i = 0; i < instances; i++) {
      demand.put("i" + i, 0.001 + 10 * random.nextDouble());
    }
    double sum = 0;
    int holders = 0;
    for (String instance : demand.keySet()) {
      double share = LimitShare.of("endpoint", limit, instance, demand);
      sum += share;
      if (share > 0) {
        holders++;
      }
    }
    assertThat(sum).isCloseTo(limit, within(PRECISION * limit));
    assertThat(holders).isBetween(1, (int) (2 + 1.5 * limit));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void instanceWithAllTheDemandGetsNearlyAllOfTheLimit(int seed) {
    Map<String, Double> demand = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      demand.put("i" + i, 0.001);
    }
    demand.put("busy", 20.0);
    assertThat(LimitShare.of("endpoint" + seed, 2, "busy", demand)).isGreaterThan(1.9);
  }
}
