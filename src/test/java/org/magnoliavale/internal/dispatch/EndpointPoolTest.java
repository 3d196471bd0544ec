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
import org.magnoliavale.internal.directory.EndpointIdentity;

class EndpointPoolTest {
  private static final int LIMIT = 100;

  private long now = TimeUnit.SECONDS.toNanos(100);
  private final EndpointPool pool = new EndpointPool("east", () -> 2, new Random(1));

  private void list(DirectoryEntry... entries) {
    pool.update(List.of(entries), now);
  }

  private void pass(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private Choice choose(String artifact) {
    return choose(artifact, LIMIT);
  }

  private Choice choose(String artifact, int limit) {
    Generation generation = new Generation(Artifact.parse(artifact), 100, 10, List.of());
    return pool.choose(
        new Selection(TestEntries.SERVICE, Optional.of(generation), Set.of()), limit, now);
  }

  private static String endpoint(Choice choice) {
    return ((Choice.Send) choice).endpoint().identity().id();
  }

  @Nested
  class Listing {
    @Test
    void endpointThatIsListedAgainTakesCallsAgain() {
      list(TestEntries.entry("a", 1, "m"));
      choose("m");
      list();
      assertThat(choose("m")).isInstanceOf(Choice.Unavailable.class);
      list(TestEntries.entry("a", 2, "m"));
      assertThat(endpoint(choose("m"))).isEqualTo("a");
    }

    @Test
    void drainingEndpointGetsNoCalls() {
      list(TestEntries.draining("a", 1, "m"), TestEntries.entry("b", 1, "m"));
      for (int i = 0; i < 20; i++) {
        assertThat(endpoint(choose("m"))).isEqualTo("b");
      }
    }

    @Test
    void endpointThatAPeerSaysIsDrainingGetsNoCalls() {
      DirectoryEntry entry = TestEntries.entry("a", 1, "m");
      list(entry);
      pool.drains(entry.identity().toString());
      assertThat(choose("m")).isInstanceOf(Choice.Unavailable.class);
    }

    @Test
    void replacedEndpointGetsNoCallsThoughItIsListed() {
      DirectoryEntry entry = TestEntries.entry("a", 1, "m");
      list(entry);
      pool.replaced(entry.identity());
      list(TestEntries.entry("a", 2, "m"));
      assertThat(choose("m")).isInstanceOf(Choice.Unavailable.class);
    }
  }

  @Nested
  class Artifacts {
    @Test
    void callWaitsForAnArtifactThatNobodyHolds() {
      list(TestEntries.entry("a", 1, "m"));
      assertThat(choose("n")).isEqualTo(new Choice.AwaitArtifact(Artifact.parse("n")));
      assertThat(choose("m/a1")).isEqualTo(new Choice.AwaitArtifact(Artifact.parse("m/a1")));
    }

    @Test
    void announcedAdapterIsUsedBeforeTheEntryShowsIt() {
      list(TestEntries.entry("a", 1, "m"));
      pool.announce("a", Artifact.parse("m/a1"));
      list(TestEntries.entry("a", 2, "m"));
      assertThat(endpoint(choose("m/a1"))).isEqualTo("a");
    }

    @Test
    void refusedAdapterIsTriedAgainSoon() {
      DirectoryEntry entry = TestEntries.entry("a", 1, "m", "m/a1");
      list(entry);
      pool.refute(entry.identity(), Artifact.parse("m/a1"), now);
      assertThat(choose("m/a1")).isInstanceOf(Choice.AwaitArtifact.class);
      pass(100);
      assertThat(endpoint(choose("m/a1"))).isEqualTo("a");
    }

    @Test
    void withdrawnModelGetsNoCallsWhileTheEntryStillShowsIt() {
      list(TestEntries.entry("a", 1, "m"));
      pool.withdraw("a", Artifact.parse("m"), now);
      assertThat(choose("m")).isInstanceOf(Choice.AwaitArtifact.class);
    }
  }

  @Nested
  class Health {
    @Test
    void unreachableEndpointIsAvoidedForAWhile() {
      list(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m"));
      EndpointIdentity a = new EndpointIdentity("a", 1);
      while (!endpoint(choose("m")).equals("a")) {
        pass(1);
      }
      pool.ended(a, CallResult.UNREACHABLE, now);
      for (int i = 0; i < 20; i++) {
        assertThat(endpoint(choose("m"))).isEqualTo("b");
      }
    }

    @Test
    void lastEndpointIsUsedEvenIfItFailed() {
      list(TestEntries.entry("a", 1, "m"));
      choose("m");
      pool.ended(new EndpointIdentity("a", 1), CallResult.UNREACHABLE, now);
      assertThat(endpoint(choose("m"))).isEqualTo("a");
    }

    @Test
    void endpointThatStaysSilentWithCallsInProgressIsNoticed() {
      list(TestEntries.entry("a", 1, "m"));
      EndpointIdentity a = new EndpointIdentity("a", 1);
      choose("m");
      pass(800);
      pool.heard(a, now);
      pass(800);
      assertThat(pool.isSilent(a, now)).isFalse();
      pass(200);
      assertThat(pool.isSilent(a, now)).isTrue();
    }
  }

  @Test
  void callsStayWithinThisInstancesShareOfConnections() {
    list(TestEntries.entry("a", 1, "m"));
    choose("m", 4);
    choose("m", 4);
    assertThat(choose("m", 4)).isInstanceOf(Choice.Unavailable.class);
  }

  @Test
  void callGoesWhereItsPromptWasReadBefore() {
    list(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m"));
    List<PromptPart> parts = List.of(new PromptPart("shared", 4_000));
    Generation generation = new Generation(Artifact.parse("m"), 4_000, 10, parts);
    Selection selection = new Selection(TestEntries.SERVICE, Optional.of(generation), Set.of());
    String first = chooseAndEnd(selection);
    for (int i = 0; i < 10; i++) {
      assertThat(chooseAndEnd(selection)).isEqualTo(first);
    }
  }

  private String chooseAndEnd(Selection selection) {
    String chosen = endpoint(pool.choose(selection, LIMIT, now));
    pool.ended(new EndpointIdentity(chosen, 1), CallResult.ANSWERED, now);
    return chosen;
  }
}
