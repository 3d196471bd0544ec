package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.InstanceOfAssertFactories.COLLECTION;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.RouteTable;

/** An unexpected exception while reading must not end the polling, which nobody would notice. */
class PollersTest {
  private static final long PATIENCE_S = 20;

  @Test
  void directoryIsReadAgainAfterAnUnexpectedException() throws InterruptedException {
    AtomicInteger reads = new AtomicInteger();
    CountDownLatch read = new CountDownLatch(1);
    DirectoryPoller poller =
        new DirectoryPoller(
            () -> {
              if (reads.incrementAndGet() == 1) {
                throw new IllegalStateException("expected by the test");
              }
              return new DirectoryReadResult.Entries(List.of(), 0);
            },
            new EndpointDepartures(),
            holderPace(),
            entries -> read.countDown(),
            System::nanoTime);
    poller.start();
    try {
      assertThat(read.await(PATIENCE_S, TimeUnit.SECONDS)).isTrue();
    } finally {
      poller.stop();
    }
  }

  @Test
  void directoryIsReadAgainAfterAnExceptionInTheWaitForThat() throws InterruptedException {
    Semaphore read = new Semaphore(0);
    DirectoryPoller poller =
        new DirectoryPoller(
            () -> new DirectoryReadResult.Entries(List.of(), 0),
            new EndpointDepartures(),
            new DirectoryPace(
                () -> {
                  throw new IllegalStateException("expected by the test");
                },
                () -> true,
                () -> false),
            entries -> read.release(),
            System::nanoTime);
    poller.start();
    try {
      assertThat(read.tryAcquire(2, PATIENCE_S, TimeUnit.SECONDS)).isTrue();
    } finally {
      poller.stop();
    }
  }

  @Test
  void exceptionOnTheRemovalOfKeptEndpointsIsNotPassedOn() {
    AtomicLong nowNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    Deque<DirectoryReadResult> results =
        new ArrayDeque<>(
            List.of(
                new DirectoryReadResult.Entries(List.of(TestEntries.entry("a", 4)), 0),
                new DirectoryReadResult.Unavailable("expected by the test"),
                new DirectoryReadResult.Entries(List.of(), 0)));
    List<Collection<DirectoryEntry>> applied = new ArrayList<>();
    EndpointDepartures departures = new EndpointDepartures();
    DirectoryPoller poller =
        new DirectoryPoller(
            results::remove,
            departures,
            holderPace(),
            entries -> {
              applied.add(entries);
              if (entries.isEmpty()) {
                throw new IllegalStateException("expected by the test");
              }
            },
            nowNanos::get);
    poller.readOnce(true);
    poller.readOnce(true);
    nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(8));
    poller.readOnce(false);
    departures.continuity().learn(60_000, nowNanos.get());
    assertThatCode(poller::removeKept).doesNotThrowAnyException();
    assertThat(applied).hasSize(3).last().asInstanceOf(COLLECTION).isEmpty();
  }

  @Test
  void directoryIsReadAgainSoonAfterAFailedReadHoweverLongThatTook() {
    assertThat(DirectoryPoller.failureDelayMs(0, 0)).isEqualTo(800);
    assertThat(DirectoryPoller.failureDelayMs(0, TimeUnit.MILLISECONDS.toNanos(700)))
        .isEqualTo(100);
    assertThat(DirectoryPoller.failureDelayMs(0, TimeUnit.SECONDS.toNanos(5))).isEqualTo(50);
  }

  @Test
  void configurationIsReadAgainAfterAnUnexpectedException() throws InterruptedException {
    AtomicInteger polls = new AtomicInteger();
    Semaphore polled = new Semaphore(0);
    ConfigurationPoller poller =
        new ConfigurationPoller(
            () -> {
              if (polls.incrementAndGet() == 1) {
                throw new IllegalStateException("expected by the test");
              }
              polled.release();
              return new ConfigurationPollResult.Unavailable("none yet");
            });
    poller.start();
    try {
      assertThat(polled.tryAcquire(PATIENCE_S, TimeUnit.SECONDS)).isTrue();
    } finally {
      poller.stop();
    }
  }

  /** Guards against endpoints that are dropped because a restored list lacks their entries. */
  @Test
  void endpointsThatARestoredListLacksAreKeptUntilTheyCanHaveRenewedTheirEntries() {
    AtomicLong nowNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    Deque<DirectoryReadResult> results =
        new ArrayDeque<>(
            List.of(
                new DirectoryReadResult.Entries(List.of(TestEntries.entry("a", 4)), 1),
                new DirectoryReadResult.Entries(List.of(), 2),
                new DirectoryReadResult.Entries(List.of(), 2)));
    List<Collection<DirectoryEntry>> applied = new ArrayList<>();
    DirectoryPoller poller =
        new DirectoryPoller(
            results::remove, new EndpointDepartures(), holderPace(), applied::add, nowNanos::get);
    poller.readOnce(true);
    poller.readOnce(true);
    assertThat(applied.getLast()).hasSize(1);
    nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(2_200));
    poller.readOnce(true);
    assertThat(applied.getLast()).isEmpty();
  }

  @Test
  void olderConfigurationThatARestoredStoreHoldsIsNotApplied() {
    Deque<RouteTable> found =
        new ArrayDeque<>(List.of(configuration(5), configuration(3), configuration(6)));
    ConfigurationPoller poller =
        new ConfigurationPoller(() -> new ConfigurationPollResult.Found(found.remove()));
    List<Long> versions = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      poller.pollOnce();
      versions.add(poller.version());
    }
    assertThat(versions).containsExactly(5L, 5L, 6L);
  }

  private static RouteTable configuration(long version) {
    return RouteTable.of(version, List.of(), List.of(), 1_000);
  }

  private static DirectoryPace holderPace() {
    return new DirectoryPace(() -> true, () -> true, () -> false);
  }
}
