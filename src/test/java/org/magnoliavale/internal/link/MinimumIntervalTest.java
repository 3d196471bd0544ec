package org.magnoliavale.internal.link;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MinimumIntervalTest {
  private final MinimumInterval interval = new MinimumInterval(50);

  @Test
  void allowsTheFirstOccurrenceAtOnceAtAnyReadingOfTheClock() {
    assertThat(interval.remainingNanos(Long.MIN_VALUE + 1)).isZero();
    assertThat(interval.remainingNanos(Long.MAX_VALUE)).isZero();
  }

  @Test
  void keepsTheNextOccurrenceApartFromTheLastOne() {
    interval.record(1_000);
    assertThat(interval.remainingNanos(1_000)).isEqualTo(50);
    assertThat(interval.remainingNanos(1_030)).isEqualTo(20);
    assertThat(interval.remainingNanos(1_050)).isZero();
    assertThat(interval.remainingNanos(5_000)).isZero();
  }

  @Test
  void countsFromTheLastOccurrenceAlsoIfTheClockWrapsAround() {
    interval.record(Long.MAX_VALUE - 10);
    assertThat(interval.remainingNanos(Long.MIN_VALUE + 9)).isEqualTo(30);
  }
}
