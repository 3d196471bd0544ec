package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TickLoopTest {
  private static final long NEVER_MS = TimeUnit.HOURS.toMillis(1);
  private static final long PATIENCE_S = 20;

  private final Semaphore runs = new Semaphore(0);
  private TickLoop loop;

  private void start(boolean busy, Runnable task) {
    loop = new TickLoop("test", 1, NEVER_MS, () -> busy, task, GatewayFixture.failures());
    loop.start();
  }

  private boolean ranAgain() throws InterruptedException {
    return runs.tryAcquire(PATIENCE_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() {
    loop.stop();
  }

  @Test
  void runsRepeatedlyWhileBusy() throws InterruptedException {
    start(true, runs::release);
    assertThat(ranAgain() && ranAgain() && ranAgain()).isTrue();
  }

  @Test
  void runsAtOnceWhenWokenFromAnIdlePause() throws InterruptedException {
    start(false, runs::release);
    assertThat(ranAgain()).isTrue();
    boolean again = false;
    // A wake-up before the pause has no effect, so it is repeated.
    for (int attempt = 0; attempt < PATIENCE_S * 100 && !again; attempt++) {
      loop.wake();
      again = runs.tryAcquire(10, TimeUnit.MILLISECONDS);
    }
    assertThat(again).isTrue();
  }

  /** Guards against time limits that are checked no longer, for good. */
  @Test
  void goesOnAfterTheQuestionForItsIntervalFails() throws InterruptedException {
    loop =
        new TickLoop(
            "test",
            1,
            NEVER_MS,
            () -> {
              throw new IllegalStateException("expected by the test");
            },
            runs::release,
            GatewayFixture.failures());
    loop.start();
    assertThat(ranAgain() && ranAgain()).isTrue();
  }

  @Test
  void goesOnAfterATaskThatFails() throws InterruptedException {
    AtomicInteger count = new AtomicInteger();
    start(
        true,
        () -> {
          if (count.incrementAndGet() == 1) {
            throw new AssertionError("expected by the test");
          }
          runs.release();
        });
    assertThat(ranAgain()).isTrue();
  }
}
