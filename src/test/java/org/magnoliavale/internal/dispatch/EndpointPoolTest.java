package org.magnoliavale.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointDepartures.Departure;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LimitStatement;
import org.magnoliavale.internal.limit.EndpointLimits;

class EndpointPoolTest {
  private static final int LIMIT = 100;

  private long now = TimeUnit.SECONDS.toNanos(100);
  private final EndpointDepartures departures = new EndpointDepartures();
  private final EndpointLimits limits = EndpointLimits.ofSingleInstance();
  private final EndpointPool pool =
      new EndpointPool("east", () -> 2, departures, limits, new Random(1));

  private void list(DirectoryEntry... entries) {
    pool.update(List.of(entries), now);
  }

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private EndpointChoice choose(String artifact) {
    return choose(artifact, LIMIT);
  }

  private EndpointChoice choose(String artifact, int limit) {
    GenerationRequest generation =
        new GenerationRequest(Artifact.parse(artifact), 100, 10, List.of());
    return pool.choose(
        new SelectionCriteria(TestEntries.SERVICE, Optional.of(generation), Set.of()), limit, now);
  }

  private static String endpoint(EndpointChoice choice) {
    return ((EndpointChoice.Selected) choice).endpoint().identity().id();
  }

  @Nested
  class Listing {
    @Test
    void endpointThatIsListedAgainGetsRequestsAgain() {
      list(TestEntries.entry("a", 1, "m"));
      choose("m");
      list();
      assertThat(choose("m")).isInstanceOf(EndpointChoice.Unavailable.class);
      list(TestEntries.entry("a", 2, "m"));
      assertThat(endpoint(choose("m"))).isEqualTo("a");
    }

    @Test
    void drainingEndpointGetsNoRequests() {
      list(TestEntries.draining("a", 1, "m"), TestEntries.entry("b", 1, "m"));
      for (int i = 0; i < 20; i++) {
        assertThat(endpoint(choose("m"))).isEqualTo("b");
      }
    }

    @Test
    void endpointThatAPeerReportsAsDrainingGetsNoRequests() {
      DirectoryEntry entry = TestEntries.entry("a", 1, "m");
      list(entry);
      departures.learn(new Departure(entry.identity(), EndpointDepartures.DRAINING), now);
      assertThat(choose("m")).isInstanceOf(EndpointChoice.Unavailable.class);
    }

    @Test
    void replacedEndpointGetsNoRequestsThoughItIsListed() {
      DirectoryEntry entry = TestEntries.entry("a", 1, "m");
      list(entry);
      pool.markReplaced(entry.identity());
      list(TestEntries.entry("a", 2, "m"));
      assertThat(choose("m")).isInstanceOf(EndpointChoice.Unavailable.class);
    }
  }

  @Nested
  class Artifacts {
    @Test
    void requestWaitsForAnArtifactThatNoEndpointHolds() {
      list(TestEntries.entry("a", 1, "m"));
      assertThat(choose("n")).isEqualTo(new EndpointChoice.AwaitArtifact(Artifact.parse("n")));
      assertThat(choose("m/a1"))
          .isEqualTo(new EndpointChoice.AwaitArtifact(Artifact.parse("m/a1")));
    }

    @Test
    void announcedAdapterIsUsedBeforeTheEntryShowsIt() {
      list(TestEntries.entry("a", 1, "m"));
      pool.recordLoaded("a", Artifact.parse("m/a1"));
      list(TestEntries.entry("a", 2, "m"));
      assertThat(endpoint(choose("m/a1"))).isEqualTo("a");
    }

    @Test
    void missingAdapterIsRequestedAgainAfterAPause() {
      DirectoryEntry entry = TestEntries.entry("a", 1, "m", "m/a1");
      list(entry);
      pool.recordMissing(entry.identity(), Artifact.parse("m/a1"), now);
      assertThat(choose("m/a1")).isInstanceOf(EndpointChoice.AwaitArtifact.class);
      advance(100);
      assertThat(endpoint(choose("m/a1"))).isEqualTo("a");
    }

    @Test
    void unloadingModelGetsNoRequestsWhileTheEntryStillShowsIt() {
      list(TestEntries.entry("a", 1, "m"));
      pool.recordUnloading("a", Artifact.parse("m"), now);
      assertThat(choose("m")).isInstanceOf(EndpointChoice.AwaitArtifact.class);
    }
  }

  @Nested
  class Health {
    @Test
    void unreachableEndpointIsAvoidedTemporarily() {
      list(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m"));
      EndpointIdentity a = new EndpointIdentity("a", 1);
      while (!endpoint(choose("m")).equals("a")) {
        advance(1);
      }
      pool.attemptEnded(a, AttemptOutcome.UNREACHABLE, now);
      for (int i = 0; i < 20; i++) {
        assertThat(endpoint(choose("m"))).isEqualTo("b");
      }
    }

    @Test
    void lastEndpointIsUsedEvenIfItFailed() {
      list(TestEntries.entry("a", 1, "m"));
      choose("m");
      pool.attemptEnded(new EndpointIdentity("a", 1), AttemptOutcome.UNREACHABLE, now);
      assertThat(endpoint(choose("m"))).isEqualTo("a");
    }

    @Test
    void endpointThatSendsNothingDuringARequestIsUnresponsive() {
      list(TestEntries.entry("a", 1, "m"));
      EndpointIdentity a = new EndpointIdentity("a", 1);
      choose("m");
      advance(800);
      pool.recordActivity(a, now);
      advance(800);
      assertThat(pool.isUnresponsive(a, now)).isFalse();
      advance(200);
      assertThat(pool.isUnresponsive(a, now)).isTrue();
    }
  }

  /** Guards against models that are only where calls are turned away. */
  @Test
  void endpointThatTakesFewerRequestsThanThereAreIsSaturated() {
    list(TestEntries.entry("a", 1, "m"));
    EndpointIdentity a = new EndpointIdentity("a", 1);
    limits.observe(a, LimitStatement.limited(2), now, now);
    assertThat(pool.saturation(a, now)).isZero();
    for (int i = 0; i < 100; i++) {
      choose("m");
      advance(50);
    }
    assertThat(pool.saturation(a, now)).isEqualTo(1);
  }

  @Test
  void requestsStayWithinThisInstancesShareOfConnections() {
    list(TestEntries.entry("a", 1, "m"));
    choose("m", 4);
    choose("m", 4);
    assertThat(choose("m", 4)).isInstanceOf(EndpointChoice.Unavailable.class);
  }

  @Test
  void requestGoesToTheEndpointThatHasItsPromptCached() {
    list(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m"));
    List<PromptSegment> segments = List.of(new PromptSegment("shared", 4_000));
    GenerationRequest generation = new GenerationRequest(Artifact.parse("m"), 4_000, 10, segments);
    SelectionCriteria criteria =
        new SelectionCriteria(TestEntries.SERVICE, Optional.of(generation), Set.of());
    String first = chooseAndEnd(criteria);
    for (int i = 0; i < 10; i++) {
      assertThat(chooseAndEnd(criteria)).isEqualTo(first);
    }
  }

  private String chooseAndEnd(SelectionCriteria criteria) {
    String chosen = endpoint(pool.choose(criteria, LIMIT, now));
    pool.attemptEnded(new EndpointIdentity(chosen, 1), AttemptOutcome.ANSWERED, now);
    return chosen;
  }
}
