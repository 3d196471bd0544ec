package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.ConfigurationSource;
import org.magnoliavale.internal.route.RouteTable;

/** The wait for changes goes on in all tests: its connection is silent for good. */
class ConfigurationCatchUpTest {
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private boolean relayed = true;
  private boolean executorFails;
  private ConfigurationPollResult stored = found(1);
  private final Deque<Runnable> reads = new ArrayDeque<>();
  private final List<Long> appliedVersions = new ArrayList<>();
  private int announcements;
  private final ConfigurationPace pace = new ConfigurationPace(false);
  private final ConfigurationPoller poller =
      new ConfigurationPoller(
          new Store(),
          new ConfigurationAnnouncer(new Recording(), () -> relayed, () -> announcements++));
  private final ConfigurationCatchUp catchUp =
      new ConfigurationCatchUp(poller, pace, () -> relayed, this::execute, () -> nowNanos);

  private final class Store implements ConfigurationSource {
    @Override
    public ConfigurationPollResult poll() {
      return stored;
    }

    @Override
    public ConfigurationPollResult read() {
      if (stored == null) {
        throw new IllegalStateException("expected by the test");
      }
      return stored;
    }
  }

  private final class Recording implements ConfigurationListener {
    @Override
    public void configurationRead() {}

    @Override
    public void configurationApplied(Optional<RouteTable> before, RouteTable applied) {
      appliedVersions.add(applied.version());
    }
  }

  private static ConfigurationPollResult found(long version) {
    return new ConfigurationPollResult.Found(RouteTable.of(version, List.of(), List.of(), 1_000));
  }

  private void execute(Runnable read) {
    if (executorFails) {
      throw new RejectedExecutionException("expected by the test");
    }
    reads.add(read);
  }

  private void hear(long version) {
    catchUp.heard(version, nowNanos);
  }

  private void pass(long milliseconds) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(milliseconds);
    catchUp.checkDue();
  }

  @BeforeEach
  void applyTheFirst() {
    poller.pollOnce();
  }

  @Test
  void versionThatAPeerAppliesIsReadAtOnce() {
    stored = found(2);
    hear(2);
    reads.remove().run();
    assertThat(poller.version()).isEqualTo(2);
    assertThat(announcements).isEqualTo(1);
    pass(300);
    assertThat(reads).isEmpty();
  }

  @Test
  void readIsRepeatedAfterAFailedOneAndAfterAnException() {
    stored = new ConfigurationPollResult.Unavailable("expected by the test");
    hear(2);
    reads.remove().run();
    stored = null;
    pass(300);
    reads.remove().run();
    stored = found(2);
    pass(300);
    reads.remove().run();
    assertThat(poller.version()).isEqualTo(2);
  }

  @Test
  void onlyOneReadRunsAtATime() {
    hear(2);
    hear(3);
    pass(2_000);
    assertThat(reads).hasSize(1);
  }

  @Test
  void readIsTriedAgainIfItCouldNotBeStarted() {
    executorFails = true;
    assertThatThrownBy(() -> hear(2)).isInstanceOf(RejectedExecutionException.class);
    executorFails = false;
    pass(300);
    assertThat(reads).hasSize(1);
  }

  @Test
  void olderVersionThatIsReadLateIsNotApplied() {
    hear(2);
    stored = found(3);
    poller.pollOnce();
    stored = found(2);
    reads.remove().run();
    assertThat(appliedVersions).containsExactly(1L, 3L);
  }

  @Test
  void nothingIsReadOrAnnouncedWithoutRelays() {
    relayed = false;
    hear(2);
    pass(300);
    assertThat(reads).isEmpty();
    stored = found(2);
    poller.pollOnce();
    assertThat(announcements).isZero();
  }

  @Test
  void versionIsStillReadIfTheFleetBecameSmallDuringALongWait() {
    hear(1);
    pace.nextWait(true, nowNanos);
    relayed = false;
    hear(2);
    assertThat(reads).hasSize(1);
  }

  @Test
  void firstConfigurationIsNotAnnounced() {
    assertThat(announcements).isZero();
  }
}
