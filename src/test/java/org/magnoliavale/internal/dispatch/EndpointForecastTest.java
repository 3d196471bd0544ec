package org.magnoliavale.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.route.EngineSpecification;

/** What is expected of requests at two endpoints with eight slots each. */
class EndpointForecastTest {
  private static final int LIMIT = 1_000;
  private static final int SLOTS = 8;
  private static final int MEMORY_TOKENS = 10_000;
  private static final EndpointIdentity A = new EndpointIdentity("a", 1);
  private static final EndpointIdentity B = new EndpointIdentity("b", 1);

  private long now = TimeUnit.SECONDS.toNanos(100);
  private final List<Double> errors = new ArrayList<>();
  private final EndpointPool pool = pool();
  private int sessions;

  private EndpointPool pool() {
    EngineSpecification engine =
        new EngineSpecification(SLOTS, MEMORY_TOKENS, 1_000, 8, 10, Map.of());
    return new EndpointPool(
        "east",
        () -> 2,
        new EndpointDepartures(),
        EndpointLimits.ofSingleInstance(),
        new Random(1),
        service -> Optional.of(engine),
        errors::add);
  }

  @BeforeEach
  void list() {
    list(pool);
  }

  private void list(EndpointPool listed) {
    listed.update(List.of(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m")), now);
  }

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private GenerationRequest prompt(int sharedTokens, int ownTokens) {
    return new GenerationRequest(
        Artifact.parse("m"),
        sharedTokens + ownTokens,
        20,
        10,
        List.of(
            new PromptSegment("shared", sharedTokens),
            new PromptSegment("session-" + sessions++, ownTokens)));
  }

  private static SelectionCriteria criteria(GenerationRequest generation) {
    return new SelectionCriteria(TestEntries.SERVICE, Optional.of(generation), Set.of());
  }

  private static SelectionCriteria criteria(GenerationRequest generation, long deadlineMs) {
    CallUrgency urgency =
        new CallUrgency(
            Duration.ofMillis(deadlineMs / 2),
            Duration.ofMillis(deadlineMs),
            Duration.ofMillis(300),
            0);
    return new SelectionCriteria(
        TestEntries.SERVICE, Optional.of(generation), Optional.of(urgency), Set.of());
  }

  private EndpointChoice choose(GenerationRequest generation) {
    return pool.choose(criteria(generation), LIMIT, now);
  }

  private EndpointChoice.Selected select(GenerationRequest generation) {
    return (EndpointChoice.Selected) choose(generation);
  }

  private EndpointForecast forecast(EndpointIdentity endpoint) {
    return pool.forecasts(criteria(prompt(0, 100)), LIMIT, now).stream()
        .filter(forecast -> forecast.endpoint().equals(endpoint))
        .findFirst()
        .orElseThrow();
  }

  private void report(int running, int waiting) {
    pool.recordLoad(A, new ReportedLoad(running, waiting, SLOTS), now);
    pool.recordLoad(B, new ReportedLoad(running, waiting, SLOTS), now);
  }

  /** Lets requests be answered, one after the other, with some events each. */
  private void answer(int requests, long slowMs, long fastMs) {
    for (int i = 0; i < requests; i++) {
      EndpointChoice.Selected choice = select(prompt(0, 100));
      boolean slow = choice.endpoint().identity().equals(A);
      for (int event = 0; event < 10; event++) {
        advance(slow ? slowMs : fastMs);
        pool.recordActivity(choice.endpoint().identity(), now);
        pool.recordLoad(choice.endpoint().identity(), new ReportedLoad(1, 0, SLOTS), now);
        pool.recordEvent(choice, now);
      }
      pool.attemptEnded(choice, AttemptOutcome.ANSWERED, now);
    }
  }

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
