package org.magnoliavale.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.limit.EndpointLimits;

/** Where requests find room, and which endpoint gets them. */
class EndpointForecastTest extends ForecastFixture {
  @Nested
  class Reading {
    @Test
    void ofForecastsDoesNotChangeTheNextChoices() {
      EndpointPool other = pool();
      list(other);
      for (int i = 0; i < 50; i++) {
        GenerationRequest generation = prompt(100, 100);
        pool.forecasts(criteria(generation), LIMIT, now);
        EndpointChoice.Selected first = select(generation);
        EndpointChoice.Selected second =
            (EndpointChoice.Selected) other.choose(criteria(generation), LIMIT, now);
        assertThat(first.endpoint().identity()).isEqualTo(second.endpoint().identity());
        assertThat(first.forecast()).isEqualTo(second.forecast());
      }
    }

    @Test
    void saysWhyAnEndpointIsLeftOut() {
      pool.markReplaced(A);
      pool.recordMissing(B, Artifact.parse("m"), now);
      assertThat(forecast(A).exclusion()).contains(EndpointExclusion.LEAVING);
      assertThat(forecast(B).exclusion()).contains(EndpointExclusion.ARTIFACT_MISSING);
    }
  }

  @Nested
  class Room {
    @Test
    void isWantingIfAllEndpointsAreKnownToBeFull() {
      report(SLOTS, 4);
      assertThat(choose(prompt(0, 100))).isInstanceOf(EndpointChoice.Busy.class);
      assertThat(forecast(A).exclusion()).contains(EndpointExclusion.FULL);
    }

    /** Load: endpoints that are full of requests of all priorities. */
    @Test
    void isLeftForMoreUrgentRequestsThatEnginesAdmitFirst() {
      report(SLOTS, SLOTS / 2);
      assertThat(chooseWithPriority(prompt(0, 100), 2)).isInstanceOf(EndpointChoice.Busy.class);
      assertThat(chooseWithPriority(prompt(0, 100), 0)).isInstanceOf(EndpointChoice.Selected.class);
      report(SLOTS, 2 * SLOTS);
      assertThat(chooseWithPriority(prompt(0, 100), 0)).isInstanceOf(EndpointChoice.Busy.class);
    }

    private EndpointChoice chooseWithPriority(GenerationRequest generation, int priority) {
      CallUrgency urgency =
          new CallUrgency(
              Duration.ofMillis(500), Duration.ofSeconds(10), Duration.ofMillis(300), priority);
      return pool.choose(
          new SelectionCriteria(
              TestEntries.SERVICE, Optional.of(generation), Optional.of(urgency), Set.of()),
          LIMIT,
          now);
    }

    @Test
    void atOneEndpointIsUsed() {
      report(SLOTS, 4);
      pool.recordLoad(B, new ReportedLoad(1, 0, SLOTS), now);
      assertThat(select(prompt(0, 100)).endpoint().identity()).isEqualTo(B);
    }

    @Test
    void isTakenToExistOnceTheReportsAreOld() {
      report(SLOTS, 4);
      advance(LoadEstimate.CERTAINTY_MS + 1);
      assertThat(choose(prompt(0, 100))).isInstanceOf(EndpointChoice.Selected.class);
    }

    /** Load: one instance of two with more requests than both endpoints take. */
    @Test
    void ofEndpointsThatWereFullAndSayNothingIsSharedToo() {
      report(SLOTS, 4);
      advance(LoadEstimate.CERTAINTY_MS + 1);
      int sent = 0;
      while (choose(prompt(0, 10)) instanceof EndpointChoice.Selected && sent < 100) {
        sent++;
      }
      assertThat(sent).isBetween(2, 2 * SLOTS);
    }

    /** Load: a burst of requests for an idle model at one of two instances. */
    @Test
    void ofEndpointsThatHadSomeIsNotLimitedOnceTheirReportsAreOld() {
      report(1, 0);
      advance(LoadEstimate.CERTAINTY_MS + 1);
      for (int i = 0; i < 2 * SLOTS; i++) {
        assertThat(choose(prompt(0, 10))).isInstanceOf(EndpointChoice.Selected.class);
      }
    }

    @Test
    void isNotAskedForAtServicesWithoutKnownEngine() {
      EndpointPool plain =
          new EndpointPool(
              "east",
              () -> 2,
              new EndpointDepartures(),
              EndpointLimits.ofSingleInstance(),
              new Random(1));
      list(plain);
      plain.recordLoad(A, new ReportedLoad(SLOTS, 30, SLOTS), now);
      plain.recordLoad(B, new ReportedLoad(SLOTS, 30, SLOTS), now);
      assertThat(plain.choose(criteria(prompt(0, 100)), LIMIT, now))
          .isInstanceOf(EndpointChoice.Selected.class);
    }

    /** Load: one instance of two, with all of the fleet's requests. */
    @Test
    void isSharedWithTheOtherInstancesUntilTheNextReport() {
      report(SLOTS, 0);
      int sent = 0;
      while (choose(prompt(0, 10)) instanceof EndpointChoice.Selected) {
        sent++;
      }
      assertThat(sent).isBetween(1, 4);
    }
  }

  @Nested
  class Memory {
    @Test
    void thatIsTakenLeavesNoRoom() {
      report(0, 0);
      select(prompt(0, 6_000));
      select(prompt(0, 6_000));
      assertThat(choose(prompt(0, 6_000))).isInstanceOf(EndpointChoice.Busy.class);
      assertThat(choose(prompt(0, 100))).isInstanceOf(EndpointChoice.Selected.class);
    }

    @Test
    void ofSharedPartsCountsOnce() {
      report(0, 0);
      double before =
          forecast(A).memoryLeft().orElseThrow() + forecast(B).memoryLeft().orElseThrow();
      List<EndpointChoice.Selected> sent = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        sent.add(select(prompt(3_000, 100)));
      }
      long used = sent.stream().map(choice -> choice.endpoint().identity()).distinct().count();
      double after =
          forecast(A).memoryLeft().orElseThrow() + forecast(B).memoryLeft().orElseThrow();
      assertThat(before - after).isEqualTo(used * 3_000 + 4 * 110);
      sent.forEach(choice -> pool.attemptEnded(choice, AttemptOutcome.ANSWERED, now));
      assertThat(forecast(A).memoryLeft().orElseThrow() + forecast(B).memoryLeft().orElseThrow())
          .isEqualTo(before);
    }

    @Test
    void ofAnEmptyEndpointIsEnoughForAnyRequest() {
      report(0, 0);
      assertThat(choose(prompt(0, 50_000))).isInstanceOf(EndpointChoice.Selected.class);
    }

    @Test
    void ofOtherInstancesRequestsIsEstimatedByTheirNumber() {
      report(0, 0);
      select(prompt(0, 1_000));
      advance(10);
      report(4, 0);
      assertThat(forecast(A).memoryLeft().orElseThrow() + forecast(B).memoryLeft().orElseThrow())
          .isCloseTo(2 * 9_000 - 8 * 1_010, within(100.0));
    }
  }

  @Test
  void longPromptsAreSpreadByTheTokensThatAreStillToBeRead() {
    report(0, 0);
    EndpointIdentity first = select(prompt(0, 4_000)).endpoint().identity();
    EndpointIdentity second = select(prompt(0, 4_000)).endpoint().identity();
    assertThat(second).isNotEqualTo(first);
  }

  @Test
  void requestThatEndsTwiceIsCountedOnce() {
    EndpointChoice.Selected choice = select(prompt(0, 100));
    pool.attemptEnded(choice, AttemptOutcome.ANSWERED, now);
    pool.attemptEnded(choice, AttemptOutcome.INCONCLUSIVE, now);
    assertThat(forecast(A).requests() + forecast(B).requests()).isZero();
  }
}
