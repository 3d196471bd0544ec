package org.magnoliavale.soak;

import java.util.concurrent.TimeUnit;

/** Milliseconds since the start of a play. */
final class PlayClock {
  private final long startNanos = System.nanoTime();

  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  void sleepUntil(long time) {
    sleep(time - now());
  }

  static void sleep(long milliseconds) {
    if (milliseconds <= 0) {
      return;
    }
    try {
      TimeUnit.MILLISECONDS.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
