package org.magnoliavale.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.EndpointIdentity;

/** What is learned of the time that endpoints take, and what follows from it. */
class EndpointSpeedTest extends ForecastFixture {
  @Nested
  class Time {
    @Test
    void thatIsTooShortForAnyEndpointRejects() {
      answer(150, 100, 100);
      report(1, 0);
      assertThat(pool.choose(criteria(prompt(0, 100), 20), LIMIT, now))
          .isInstanceOf(EndpointChoice.TooLate.class);
      assertThat(pool.choose(criteria(prompt(0, 100), 1_000), LIMIT, now))
          .isInstanceOf(EndpointChoice.Selected.class);
    }

    @Test
    void doesNotRejectWhileLittleIsKnown() {
      report(1, 0);
      assertThat(pool.choose(criteria(prompt(0, 100), 1), LIMIT, now))
          .isInstanceOf(EndpointChoice.Selected.class);
    }

    @Test
    void ofTheFirstEventIsComparedWithItsForecast() {
      EndpointChoice.Selected choice = select(prompt(0, 100));
      advance(300);
      pool.recordEvent(choice, now);
      advance(50);
      pool.recordEvent(choice, now);
      assertThat(errors)
          .singleElement()
          .satisfies(
              error ->
                  assertThat(error)
                      .isCloseTo(300 - choice.forecast().firstEventMs(), within(0.01)));
    }
  }

  @Nested
  class Speed {
    @Test
    void isLearnedFromAnEndpointsOwnWork() {
      answer(100, 120, 40);
      assertThat(forecast(A).timeFactor()).isGreaterThan(2 * forecast(B).timeFactor());
    }

    @Test
    void isForgottenWithoutNewWork() {
      answer(100, 120, 40);
      double learned = forecast(A).timeFactor();
      advance(300_000);
      assertThat(forecast(A).timeFactor()).isBetween(0.9, 1.1).isLessThan(learned);
    }

    @Test
    void followsTheSlowdownOfTheMachineOnlyWhileItIsFresh() {
      pool.recordLoad(A, new ReportedLoad(1, 0, SLOTS, 250), now);
      assertThat(forecast(A).timeFactor()).isEqualTo(2.5);
      advance(LoadEstimate.SLOWDOWN_VALIDITY_MS + 1);
      assertThat(forecast(A).timeFactor()).isEqualTo(1);
    }

    /** Load: 20 requests in progress. */
    @Test
    void ofASlowEndpointDoesNotShutItOut() {
      answer(100, 120, 40);
      report(0, 0);
      assertThat(share(A, 20)).isGreaterThan(0).isLessThan(share(B, 20));
    }

    /** Load: 10 requests in progress at two endpoints of the same speed. */
    @Test
    void ofANewEndpointIsTriedCarefully() {
      answer(100, 40, 40);
      list(pool);
      pool.update(
          List.of(TestEntries.entry("a", 2, "m"), TestEntries.incarnation("b", 2, "m")), now);
      int toNew = 0;
      for (int i = 0; i < 10; i++) {
        boolean isNew = select(prompt(0, 10)).endpoint().identity().startedAtMs() == 2;
        toNew += isNew ? 1 : 0;
      }
      assertThat(toNew).isBetween(1, 4);
    }

    private long share(EndpointIdentity endpoint, int requests) {
      long count = 0;
      for (int i = 0; i < requests; i++) {
        EndpointChoice.Selected choice = select(prompt(0, 10));
        count += choice.endpoint().identity().equals(endpoint) ? 1 : 0;
        pool.attemptEnded(choice, AttemptOutcome.INCONCLUSIVE, now);
      }
      return count;
    }
  }
}
