package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.route.RouteTable;

/**
 * A large fleet in which every instance reads the directory costs a store call for each of them
 * each 1.2 s. What the holder of the command lease tells must not be missed for longer than the
 * drain time of 2 s, whatever happens to the holder.
 */
class DirectoryPaceTest {
  private static final long DRAIN_MS = 2_000;

  private long now = TimeUnit.SECONDS.toNanos(100);
  private boolean holder;
  private boolean awaiting;
  private boolean large = true;
  private final DirectoryPace pace = new DirectoryPace(() -> holder, () -> awaiting, () -> large);

  private void pass(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private void hear(boolean reads, long appearances) {
    pace.holderHeard("holder", reads, appearances, now);
  }

  private void hearAndRead() {
    hear(true, 0);
    pace.readStarted();
  }

  @Nested
  class InALargeFleet {
    @Test
    void readsSeldomWhileAHolderIsHeardWhoseReadsSucceed() {
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.OWN_INTERVAL_MS);
      hearAndRead();
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.INFORMED_INTERVAL_MS);
    }

    @Test
    void readsAgainWithinTheDrainTimeAfterTheLastWordOfAHolderThatDied() {
      hearAndRead();
      long silentMs = 0;
      while (pace.intervalMs(now) > DirectoryPace.OWN_INTERVAL_MS) {
        pass(50);
        silentMs += 50;
      }
      // The last read lies back for longer than the own interval by then, so the next is due.
      assertThat(silentMs).isLessThan(DRAIN_MS).isGreaterThan(500);
    }

    @Test
    void readsAsUsualWhenTheStoreTurnsTheHolderAway() {
      hearAndRead();
      hear(false, 0);
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.OWN_INTERVAL_MS);
    }

    @Test
    void readsSoonOnceAfterAnEndpointHasAppeared() {
      hearAndRead();
      hear(true, 1);
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.OWN_INTERVAL_MS);
      pace.readStarted();
      hear(true, 1);
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.INFORMED_INTERVAL_MS);
    }

    @Test
    void readsSoonAfterAnotherHolderWasHeardFirst() {
      hearAndRead();
      pace.holderHeard("successor", true, 0, now);
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.OWN_INTERVAL_MS);
    }

    @Test
    void readsOftenAsTheHolder() {
      hearAndRead();
      holder = true;
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.HOLDER_INTERVAL_MS);
      awaiting = true;
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.PENDING_INTERVAL_MS);
    }
  }

  @Test
  void aSmallFleetReadsAsUsual() {
    large = false;
    hearAndRead();
    assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.OWN_INTERVAL_MS);
  }

  @Nested
  class Reads {
    private final DirectoryReads reads =
        new DirectoryReads(
            () -> new DirectoryReadResult.Entries(List.of(), 0),
            new EndpointDepartures(),
            pace,
            () -> holder,
            () -> RouteTable.of(1, List.of(), List.of(), 1_000),
            entries -> {},
            () -> now);

    private Heartbeat heartbeat() {
      Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
      reads.addTo(heartbeat, now);
      return heartbeat.build();
    }

    @Test
    void onlyAHolderSaysWhatHasAppeared() {
      PlainEndpointAppearances appearances = new PlainEndpointAppearances(service -> false);
      appearances.update(List.of(TestEntries.entry("a", 1), TestEntries.entry("b", 1)));
      appearances.update(List.of(TestEntries.entry("b", 1), TestEntries.entry("c", 1)));
      assertThat(appearances.count()).isEqualTo(3);
      assertThat(heartbeat().getPlainEndpointAppearances()).isZero();
    }

    @Test
    void endpointsWithAnEngineAreNotCounted() {
      PlainEndpointAppearances appearances = new PlainEndpointAppearances(service -> true);
      appearances.update(List.of(TestEntries.entry("a", 1)));
      assertThat(appearances.count()).isZero();
    }

    @Test
    void onlyWhatAHolderSaysCounts() {
      Heartbeat.Builder said = Heartbeat.newBuilder().setDirectoryReadMs(5_000);
      reads.apply("peer", said.build(), now);
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.OWN_INTERVAL_MS);
      reads.apply("peer", said.setGivesOrders(true).build(), now);
      pace.readStarted();
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.INFORMED_INTERVAL_MS);
      reads.apply("peer", said.setDirectoryReadMs(0).build(), now);
      assertThat(pace.intervalMs(now)).isEqualTo(DirectoryPace.OWN_INTERVAL_MS);
    }
  }
}
