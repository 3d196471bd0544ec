package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.Seeds;

/** Calls that can wait for a load are served nearly as often as those that can't. */
class DelayTolerantCallsStarvedTest {
  private static final double LARGEST_GAP_OF_IN_TIME_SHARES = 0.15;
  private static final double LARGEST_GAP_OF_SERVED_SHARES = 0.05;

  /** The outcomes of all days. */
  private record Days(SimulatedPlacement.Outcome urgent, SimulatedPlacement.Outcome tolerant) {
    static Days play(boolean losesEndpoints) {
      Days days = new Days(new SimulatedPlacement.Outcome(), new SimulatedPlacement.Outcome());
      for (int seed : Seeds.upTo(10)) {
        SimulatedPlacement day = SimulatedPlacement.play(seed, losesEndpoints);
        days.urgent.add(day.urgent());
        days.tolerant.add(day.tolerant());
      }
      return days;
    }

    double servedGap() {
      return urgent.servedShare() - tolerant.servedShare();
    }

    double inTimeGap() {
      return urgent.inTimeShare() - tolerant.inTimeShare();
    }
  }

  @Nested
  class WhileEndpointsStay {
    private static final Days DAYS = Days.play(false);

    @Test
    void endpointsAreFreeToLoadLocalCopiesForCallsThatWait() {
      assertThat(DAYS.inTimeGap())
          .as("%s", DAYS)
          .isLessThanOrEqualTo(LARGEST_GAP_OF_IN_TIME_SHARES);
    }

    @Test
    void callThatWaitsCountsAsMuchAsAnUrgentOne() {
      assertThat(DAYS.servedGap()).as("%s", DAYS).isLessThanOrEqualTo(LARGEST_GAP_OF_SERVED_SHARES);
    }
  }

  @Nested
  class WhileEndpointsAreLost {
    private static final Days DAYS = Days.play(true);

    @Test
    void modelsWithoutACopyAreLoadedFromTheStoreForCallsThatWait() {
      assertThat(DAYS.servedGap()).as("%s", DAYS).isLessThanOrEqualTo(LARGEST_GAP_OF_SERVED_SHARES);
    }
  }
}
