package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PlanningPaceTest {
  private final PlanningPace pace = new PlanningPace();

  private static long milliseconds(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }

  @Test
  void startsTheFirstRoundAtOnce() {
    assertThat(pace.isDue(milliseconds(-5))).isTrue();
  }

  @Test
  void plansAsOftenAsAskedWhileRoundsTakeNoTime() {
    pace.finished(milliseconds(100), milliseconds(100));
    assertThat(pace.isDue(milliseconds(100))).isTrue();
  }

  @Test
  void keepsLongRoundsToATenthOfTheTime() {
    pace.finished(milliseconds(100), milliseconds(110));
    assertThat(pace.isDue(milliseconds(199))).isFalse();
    assertThat(pace.isDue(milliseconds(200))).isTrue();
  }

  @Test
  void goesOnSoonAfterARoundThatSpannedASuspension() {
    pace.finished(milliseconds(100), milliseconds(7_100));
    assertThat(pace.isDue(milliseconds(7_350))).isTrue();
  }
}
