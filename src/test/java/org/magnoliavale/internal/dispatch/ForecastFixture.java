package org.magnoliavale.internal.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.route.EngineSpecification;

/** Two endpoints with eight slots each that hold the model {@code m}, on a virtual clock. */
abstract class ForecastFixture {
  static final int LIMIT = 1_000;
  static final int SLOTS = 8;
  static final int MEMORY_TOKENS = 10_000;
  static final EndpointIdentity A = new EndpointIdentity("a", 1);
  static final EndpointIdentity B = new EndpointIdentity("b", 1);

  long now = TimeUnit.SECONDS.toNanos(100);
  final List<Double> errors = new ArrayList<>();
  final EndpointPool pool = pool();
  private int sessions;

  EndpointPool pool() {
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

  void list(EndpointPool listed) {
    listed.update(List.of(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m")), now);
  }

  void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  GenerationRequest prompt(int sharedTokens, int ownTokens) {
    return new GenerationRequest(
        Artifact.parse("m"),
        sharedTokens + ownTokens,
        20,
        10,
        List.of(
            new PromptSegment("shared", sharedTokens),
            new PromptSegment("session-" + sessions++, ownTokens)));
  }

  static SelectionCriteria criteria(GenerationRequest generation) {
    return new SelectionCriteria(TestEntries.SERVICE, Optional.of(generation), Set.of());
  }

  static SelectionCriteria criteria(GenerationRequest generation, long deadlineMs) {
    CallUrgency urgency =
        new CallUrgency(
            Duration.ofMillis(deadlineMs / 2),
            Duration.ofMillis(deadlineMs),
            Duration.ofMillis(300),
            0);
    return new SelectionCriteria(
        TestEntries.SERVICE, Optional.of(generation), Optional.of(urgency), Set.of());
  }

  EndpointChoice choose(GenerationRequest generation) {
    return pool.choose(criteria(generation), LIMIT, now);
  }

  EndpointChoice.Selected select(GenerationRequest generation) {
    return (EndpointChoice.Selected) choose(generation);
  }

  EndpointForecast forecast(EndpointIdentity endpoint) {
    return pool.forecasts(criteria(prompt(0, 100)), LIMIT, now).stream()
        .filter(forecast -> forecast.endpoint().equals(endpoint))
        .findFirst()
        .orElseThrow();
  }

  void report(int running, int waiting) {
    pool.recordLoad(A, new ReportedLoad(running, waiting, SLOTS), now);
    pool.recordLoad(B, new ReportedLoad(running, waiting, SLOTS), now);
  }

  /** Lets requests be answered, one after the other, with some events each. */
  void answer(int requests, long slowMs, long fastMs) {
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
}
