package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads the streams of an instance together. Most of what an event costs is to wake a thread for
 * it, so streams whose last events have been passed on wait until all of them are read at once.
 * Thread-safe.
 */
final class StreamReads {
  private final Scheduler scheduler;
  private final Duration interval;
  private List<Runnable> waiting = new ArrayList<>();

  /**
   * Returns reads that wait for each other.
   *
   * @param interval longest time that a read waits; zero if each is made at once
   */
  StreamReads(Scheduler scheduler, Duration interval) {
    this.scheduler = scheduler;
    this.interval = interval;
  }

  /** Returns reads that are each made at once. */
  static StreamReads atOnce() {
    return new StreamReads(new ScheduledExecutorScheduler(), Duration.ZERO);
  }

  /** Reads a stream with the next ones, on another thread; {@code read} must not throw. */
  void add(Runnable read) {
    if (interval.isZero()) {
      read.run();
      return;
    }
    boolean first;
    synchronized (this) {
      first = waiting.isEmpty();
      waiting.add(read);
    }
    if (first) {
      scheduler.schedule(this::readAll, interval.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void readAll() {
    List<Runnable> due;
    synchronized (this) {
      due = waiting;
      waiting = new ArrayList<>();
    }
    due.forEach(Runnable::run);
  }
}
