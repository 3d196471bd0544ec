package org.magnoliavale.internal.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReadContinuityTest {
  private final ReadContinuity continuity = new ReadContinuity();
  private long nowMs = 100_000;

  private void readAfter(long milliseconds) {
    nowMs += milliseconds;
    continuity.recordRead(nowNanos());
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private long continuousMs() {
    return continuity.continuousMs(nowNanos());
  }

  @Test
  void countsFromTheFirstReadToTheLast() {
    readAfter(0);
    readAfter(1_200);
    readAfter(1_200);
    nowMs += 500;
    assertThat(continuousMs()).isEqualTo(2_400);
  }

  @Test
  void beginsAnewAfterAFailure() {
    readAfter(0);
    readAfter(1_200);
    continuity.recordFailure();
    assertThat(continuousMs()).isZero();
    readAfter(1_200);
    readAfter(1_200);
    assertThat(continuousMs()).isEqualTo(1_200);
  }

  @Test
  void saysNothingOnceReadsHaveStopped() {
    readAfter(0);
    readAfter(1_200);
    nowMs += 8_000;
    assertThat(continuousMs()).isZero();
  }

  @Test
  void beginsAnewAfterAPauseOfTheProcess() {
    readAfter(0);
    readAfter(1_200);
    readAfter(8_000);
    readAfter(1_200);
    assertThat(continuousMs()).isEqualTo(1_200);
  }
}
