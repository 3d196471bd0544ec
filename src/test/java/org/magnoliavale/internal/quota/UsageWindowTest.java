package org.magnoliavale.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class UsageWindowTest {
  private static final double PRECISION = 1e-9;
  private static final Duration WINDOW = Duration.ofSeconds(8);

  /** A monotonic clock may start below 0. */
  private long now = -TimeUnit.SECONDS.toNanos(3);

  private final UsageWindow window = new UsageWindow(WINDOW, now);

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  @Test
  void unitsCountForTheWindowAndNotMuchLonger() {
    window.add(100, now);
    advance(8_000);
    assertThat(window.total(now)).isEqualTo(100);
    advance(100);
    assertThat(window.total(now)).isZero();
  }

  @Test
  void unitsOfAWindowThatIsLongOverAreForgotten() {
    window.add(100, now);
    advance(3_600_000);
    assertThat(window.total(now)).isZero();
    window.add(7, now);
    assertThat(window.total(now)).isEqualTo(7);
  }

  @Test
  void unitsOfATimeThatHasPassedCountAsIfTheyHadBeenRecordedThen() {
    advance(20_000);
    window.addEvenly(100, now - TimeUnit.SECONDS.toNanos(4), now, now);
    assertThat(window.total(now)).isCloseTo(100, within(PRECISION));
    advance(6_000);
    assertThat(window.total(now)).isCloseTo(50, within(2.0));
    advance(2_200);
    assertThat(window.total(now)).isCloseTo(0, within(PRECISION));
  }

  @Test
  void unitsOfATimeBeforeTheWindowDoNotCount() {
    advance(60_000);
    window.addEvenly(100, now - WINDOW.toNanos() * 3, now - WINDOW.toNanos() * 2, now);
    assertThat(window.total(now)).isZero();
  }

  @Test
  void unitsSinceATimeAreThoseRecordedAfterIt() {
    window.add(5, now);
    advance(1_000);
    long since = now;
    advance(100);
    window.add(7, now);
    assertThat(window.since(since, now)).isEqualTo(7);
    assertThat(window.since(since - WINDOW.toNanos(), now)).isEqualTo(12);
  }

  @Test
  void timeUntilFewerUnitsCountIsWhenTheEldestLeaveTheWindow() {
    window.add(60, now);
    advance(3_000);
    window.add(60, now);
    assertThat(window.timeUntil(120, now)).isZero();
    assertThat(window.timeUntil(100, now)).isBetween(ms(5_000), ms(5_200));
    assertThat(window.timeUntil(10, now)).isBetween(ms(8_000), ms(8_200));
  }

  @Test
  void unitsThatAreGivenBackDoNotCount() {
    window.add(60, now);
    advance(500);
    window.add(-60, now);
    assertThat(window.total(now)).isZero();
  }

  private static Duration ms(long milliseconds) {
    return Duration.ofMillis(milliseconds);
  }
}
