package org.magnoliavale.internal.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.TestEntries;

class EndpointDirectoryTest {
  private final EndpointDepartures departures = new EndpointDepartures();
  private final EndpointDirectory directory = new EndpointDirectory(departures);
  private long nowMs = 100_000;

  private Collection<DirectoryEntry> read(DirectoryEntry... listed) {
    return directory.update(List.of(listed), nowNanos());
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private static void assertNoneAccepts(Collection<DirectoryEntry> entries) {
    assertThat(entries).allMatch(DirectoryEntry::draining);
  }

  private static void assertAccepts(Collection<DirectoryEntry> entries) {
    assertThat(entries).hasSize(1).noneMatch(DirectoryEntry::draining);
  }

  @Nested
  class EndpointThatAnnouncedThatItLeaves {
    @Test
    void isNotReadyAgainWhenAnOlderEntryFollows() {
      read(TestEntries.entry("a", 4));
      read(TestEntries.draining("a", 5));
      assertNoneAccepts(read(TestEntries.entry("a", 4)));
    }

    @Test
    void isNotReadyAgainWhenANewerEntryFollows() {
      read(TestEntries.draining("a", 5));
      assertNoneAccepts(read(TestEntries.entry("a", 6)));
    }

    @Test
    void isNotReadyAgainWhenAnEntryShowsUpAfterItsRemoval() {
      read(TestEntries.draining("a", 5));
      read();
      assertNoneAccepts(read(TestEntries.entry("a", 6)));
    }

    @Test
    void doesNotBindALaterIncarnation() {
      read(TestEntries.draining("a", 5));
      assertAccepts(read(TestEntries.incarnation("a", 2)));
    }

    @Test
    void doesNotBindALaterIncarnationThatDoesNotSayWhenItStarted() {
      read(TestEntries.withoutStartTime(TestEntries.draining("a", 5)));
      read();
      assertAccepts(read(TestEntries.withoutStartTime(TestEntries.entry("a", 1))));
    }
  }

  @Nested
  class EndpointThatSaidThatItLeaves {
    @Test
    void isNotReadyThoughItsEntrySaysSo() {
      read(TestEntries.entry("a", 4));
      departures.observeLeaving(new EndpointIdentity("a", 1), nowNanos());
      assertNoneAccepts(read(TestEntries.entry("a", 5)));
      assertNoneAccepts(read(TestEntries.entry("a", 6)));
    }

    @Test
    void isNotReadyThoughItDoesNotSayWhenItStarted() {
      DirectoryEntry entry = TestEntries.withoutStartTime(TestEntries.entry("a", 4));
      read(entry);
      departures.observeLeaving(entry.identity(), nowNanos());
      assertNoneAccepts(read(entry));
      assertNoneAccepts(read(entry));
    }

    @Test
    void isNotReadyAfterAnOutageOfTheStore() {
      read(TestEntries.entry("a", 4));
      departures.observeLeaving(new EndpointIdentity("a", 1), nowNanos());
      directory.markUnavailable();
      assertNoneAccepts(read(TestEntries.entry("a", 5)));
    }
  }

  @Nested
  class EndpointThatWasRemoved {
    @Test
    void isNotBackWithTheEntryThatWasRemoved() {
      read(TestEntries.entry("a", 4));
      read();
      assertNoneAccepts(read(TestEntries.entry("a", 4)));
    }

    @Test
    void isBackWithANewerEntry() {
      read(TestEntries.entry("a", 4));
      read();
      assertAccepts(read(TestEntries.entry("a", 5)));
    }
  }

  @Nested
  class AfterAnUnavailableStore {
    @Test
    void endpointWhoseEntryExpiredMeanwhileIsKeptForTheGracePeriod() {
      read(TestEntries.entry("a", 4));
      directory.markUnavailable();
      assertAccepts(read());
      nowMs += EndpointDirectory.RENEWAL_GRACE_MS - 1;
      assertAccepts(read());
      nowMs++;
      assertThat(read()).isEmpty();
    }

    @Test
    void endpointThatIsRemovedAfterItWasSeenAgainIsGoneAtOnce() {
      read(TestEntries.entry("a", 4));
      directory.markUnavailable();
      assertAccepts(read(TestEntries.entry("a", 5)));
      nowMs += 100;
      assertThat(read()).isEmpty();
    }

    @Test
    void graceEndsOnTimeThoughReadsAreFarApart() {
      read(TestEntries.entry("a", 4));
      directory.markUnavailable();
      read();
      nowMs += 1_200;
      assertThat(directory.graceRemainingMs(nowNanos()))
          .isEqualTo(EndpointDirectory.RENEWAL_GRACE_MS - 1_200);
    }

    @Test
    void nothingIsAwaitedOnceAllEndpointsWereSeen() {
      read(TestEntries.entry("a", 4));
      directory.markUnavailable();
      read(TestEntries.entry("a", 5));
      assertThat(directory.graceRemainingMs(nowNanos())).isZero();
    }
  }

  @Nested
  class AfterALongTimeWithoutReads {
    private void cutOff(long milliseconds) {
      read(TestEntries.entry("a", 4));
      nowMs += 1_200;
      directory.markUnavailable();
      nowMs += milliseconds;
      assertAccepts(read());
    }

    private void peerSaysThatItHasReadFor(long milliseconds) {
      departures.continuity().learn(milliseconds, nowNanos());
    }

    @Test
    void endpointIsGoneOnceAPeerSaysThatItHasReadAllTheWhile() {
      cutOff(8_000);
      assertThat(directory.removeKept(nowNanos())).isFalse();
      peerSaysThatItHasReadFor(60_000);
      assertThat(directory.removeKept(nowNanos())).isTrue();
      assertThat(directory.entries()).isEmpty();
      assertThat(read()).isEmpty();
    }

    @Test
    void endpointIsKeptIfPeersCouldNotReadEither() {
      cutOff(8_000);
      peerSaysThatItHasReadFor(300);
      assertThat(directory.removeKept(nowNanos())).isFalse();
      assertAccepts(read());
    }

    @Test
    void endpointIsKeptThoughAPeerSaidBeforeThatItHadReadAllTheWhile() {
      read(TestEntries.entry("a", 4));
      directory.markUnavailable();
      peerSaysThatItHasReadFor(60_000);
      nowMs += 8_000;
      assertAccepts(read());
      assertThat(directory.removeKept(nowNanos())).isFalse();
    }

    @Test
    void endpointIsKeptAfterATimeInWhichAPeerMayNotHaveNoticedAnOutage() {
      cutOff(1_500);
      peerSaysThatItHasReadFor(60_000);
      assertThat(directory.removeKept(nowNanos())).isFalse();
      assertAccepts(read());
    }
  }

  @Nested
  class StoreThatWasRestoredFromACopy {
    @Test
    void doesNotReplaceAnEntryByAnOlderOneOfTheSameIncarnation() {
      read(TestEntries.entry("a", 9, "m", "n"));
      assertThat(read(TestEntries.entry("a", 4, "m")))
          .containsExactly(TestEntries.entry("a", 9, "m", "n"));
      assertThat(read(TestEntries.entry("a", 10, "n")))
          .containsExactly(TestEntries.entry("a", 10, "n"));
    }

    @Test
    void replacesAnEntryOfAnIncarnationThatCannotBeToldFromAnEarlierOne() {
      DirectoryEntry restarted = TestEntries.withoutStartTime(TestEntries.entry("a", 1, "m"));
      read(TestEntries.withoutStartTime(TestEntries.entry("a", 9, "n")));
      assertThat(read(restarted)).containsExactly(restarted);
    }
  }
}
