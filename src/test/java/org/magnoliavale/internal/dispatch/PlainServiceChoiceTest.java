package org.magnoliavale.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.limit.EndpointLimits;

/**
 * Choices between two endpoints of a service without engine. Load: one request at a time; 100 to
 * learn from, and 100 that count.
 */
class PlainServiceChoiceTest {
  private static final int LIMIT = 1_000;
  private static final int REQUESTS = 100;
  private static final long USUAL_MS = 60;
  private static final EndpointIdentity A = new EndpointIdentity("a", 1);

  private long now = TimeUnit.SECONDS.toNanos(100);
  private final EndpointPool pool =
      new EndpointPool(
          "east",
          () -> 2,
          new EndpointDepartures(),
          EndpointLimits.ofSingleInstance(),
          new Random(1));

  @BeforeEach
  void list() {
    pool.update(List.of(TestEntries.entry("a", 1), TestEntries.entry("b", 1)), now);
  }

  /** Returns how many requests went to endpoint A. */
  private int play(long msAtA, AttemptOutcome outcomeAtA) {
    int atA = 0;
    for (int i = 0; i < REQUESTS; i++) {
      EndpointChoice.Selected choice =
          (EndpointChoice.Selected)
              pool.choose(
                  new SelectionCriteria(TestEntries.SERVICE, Optional.empty(), Set.of()),
                  LIMIT,
                  now);
      EndpointIdentity endpoint = choice.endpoint().identity();
      boolean isA = endpoint.equals(A);
      now += TimeUnit.MILLISECONDS.toNanos(isA ? msAtA : USUAL_MS);
      pool.recordActivity(endpoint, now);
      pool.recordLoad(endpoint, new ReportedLoad(2, 0, 8), now);
      pool.recordFirstByte(choice, now);
      pool.attemptEnded(choice, isA ? outcomeAtA : AttemptOutcome.ANSWERED, now);
      atA += isA ? 1 : 0;
    }
    return atA;
  }

  @Test
  void equalEndpointsShareTheRequests() {
    play(USUAL_MS, AttemptOutcome.ANSWERED);
    assertThat(play(USUAL_MS, AttemptOutcome.ANSWERED)).isBetween(25, 75);
  }

  @Test
  void endpointThatAnswersSlowlyGetsFew() {
    play(10 * USUAL_MS, AttemptOutcome.ANSWERED);
    assertThat(play(10 * USUAL_MS, AttemptOutcome.ANSWERED)).isLessThan(5);
  }

  @Test
  void endpointThatFailsGetsFew() {
    play(USUAL_MS, AttemptOutcome.FAILED);
    assertThat(play(USUAL_MS, AttemptOutcome.FAILED)).isLessThan(10);
  }
}
