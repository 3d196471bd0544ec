package org.magnoliavale.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load: one model at 21 endpoints of speed 0.6, 1 and 1.6, prompts of very different length from 28
 * instances that get callers unevenly, for half a minute. Each instance hears at most every fifth
 * of a second what endpoints have reported to the others.
 */
class EndpointBalanceTest {
  private static final int INSTANCES = 28;
  private static final int ENDPOINTS = 21;
  private static final long TARGET_MS = 500;
  private static final long PLAYED_MS = 30_000;

  private static LoadedFleet.Result play(
      double load, long seed, LoadedFleet.SelectionFactory factory) {
    return new LoadedFleet(INSTANCES, ENDPOINTS, load, TARGET_MS, seed, factory).run(PLAYED_MS);
  }

  @Nested
  class Fleet {
    @ParameterizedTest
    @CsvSource({"0.5, 1", "0.5, 2", "0.8, 1", "0.8, 2", "1.0, 1", "1.0, 2"})
    void givesNoEndpointMuchMoreThanItsFairShare(double load, long seed) {
      assertThat(play(load, seed, ForecastSelection::new).busiest()).isLessThan(1.3);
    }

    @ParameterizedTest
    @CsvSource({"0.8, 1", "0.8, 2"})
    void sendsNoneMoreThanItTakesAtFourFifthsOfCapacity(double load, long seed) {
      assertThat(play(load, seed, ForecastSelection::new).rejectedShare()).isLessThan(0.02);
    }

    @Test
    void startsFewerAnswersLateThanByTheNumberOfRequestsAlone() {
      LoadedFleet.Result before = play(0.8, 3, OwnReportsSelection::new);
      LoadedFleet.Result now = play(0.8, 3, ForecastSelection::new);
      assertThat(now.lateShare()).isLessThan(before.lateShare() / 2);
    }

    @Test
    void keepsItsEndpointsBusyAtCapacity() {
      LoadedFleet.Result before = play(1, 3, OwnReportsSelection::new);
      LoadedFleet.Result now = play(1, 3, ForecastSelection::new);
      assertThat(now.firstEvents).isGreaterThan(before.firstEvents * 98 / 100);
    }
  }
}
