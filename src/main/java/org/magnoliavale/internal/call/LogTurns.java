package org.magnoliavale.internal.call;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Bounds how many lines of a kind are logged in a second. Thread-safe. */
final class LogTurns {
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final int linesPerSecond;
  private long periodStartNanos;
  private int lines;
  private long skipped;

  LogTurns(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Returns the number of lines that were left out since the last one; empty to leave it out. */
  synchronized OptionalLong take(long nowNanos) {
    if (nowNanos - periodStartNanos >= PERIOD_NANOS) {
      periodStartNanos = nowNanos;
      lines = 0;
    }
    if (lines >= linesPerSecond) {
      skipped++;
      return OptionalLong.empty();
    }
    lines++;
    long before = skipped;
    skipped = 0;
    return OptionalLong.of(before);
  }
}
