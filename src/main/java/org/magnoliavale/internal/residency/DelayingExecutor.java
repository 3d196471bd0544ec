package org.magnoliavale.internal.residency;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Executes tasks, at once or after a delay. Tasks may block. */
public interface DelayingExecutor extends Executor {
  /** Executes a task after a delay. */
  void executeLater(Runnable task, long delayMs);

  /** Returns an executor that runs each task on a virtual thread of its own. */
  static DelayingExecutor onVirtualThreads() {
    Executor executor = Executors.newVirtualThreadPerTaskExecutor();
    return new DelayingExecutor() {
      @Override
      public void execute(Runnable task) {
        executor.execute(task);
      }

      @Override
      public void executeLater(Runnable task, long delayMs) {
        CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS, executor).execute(task);
      }
    };
  }
}
