package org.magnoliavale.internal.gateway;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.magnoliavale.Service;
import org.magnoliavale.internal.metrics.UnexpectedFailures;

/**
 * Runs a task periodically on a thread of its own: often while there is something to watch, seldom
 * otherwise, since each wake-up costs processor time. {@link #wake} runs it at once.
 *
 * <p>An exception of the task, or of the question for its interval, is counted and logged, and the
 * loop goes on.
 */
final class TickLoop implements Service {
  private final String name;
  private final long busyIntervalMs;
  private final long idleIntervalMs;
  private final BooleanSupplier busy;
  private final Runnable task;
  private final UnexpectedFailures failures;
  private final Semaphore wakeUps = new Semaphore(0);
  private volatile boolean idle;
  private volatile boolean stopped;

  /**
   * Returns a loop that is not started yet.
   *
   * @param busy whether the next run is due after the busy interval
   */
  TickLoop(
      String name,
      long busyIntervalMs,
      long idleIntervalMs,
      BooleanSupplier busy,
      Runnable task,
      UnexpectedFailures failures) {
    this.name = name;
    this.busyIntervalMs = busyIntervalMs;
    this.idleIntervalMs = idleIntervalMs;
    this.busy = busy;
    this.task = task;
    this.failures = failures;
  }

  @Override
  public void start() {
    // Each timed wait of a virtual thread wakes two other threads when it ends.
    Thread.ofPlatform().daemon().name(name).start(this::run);
  }

  @Override
  public void stop() {
    stopped = true;
    wakeUps.release();
  }

  /** Ends an idle pause; does nothing while the busy interval is in use. */
  void wake() {
    if (idle) {
      idle = false;
      wakeUps.release();
    }
  }

  private void run() {
    try {
      while (!stopped) {
        runTask();
        pause();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runTask() {
    failures.contain("Periodic task failed. task=" + name, task);
  }

  private boolean isBusy() {
    try {
      return busy.getAsBoolean();
    } catch (RuntimeException | Error e) {
      failures.record(e, "Periodic task failed. task=" + name);
      return true;
    }
  }

  private void pause() throws InterruptedException {
    idle = true;
    // Read after the flag is set, so that what begins in between is either seen here or wakes.
    long intervalMs = isBusy() ? busyIntervalMs : idleIntervalMs;
    wakeUps.tryAcquire(intervalMs, TimeUnit.MILLISECONDS);
    idle = false;
    wakeUps.drainPermits();
  }
}
