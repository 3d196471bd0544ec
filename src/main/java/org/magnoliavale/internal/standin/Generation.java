package org.magnoliavale.internal.standin;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * The state of one request in an engine stand-in. The batcher adds tokens, the handler of the
 * request takes them.
 */
final class Generation {
  /** Takes the place of a token index after the engine crashed. */
  static final int FAILED = -1;

  private final int priority;
  private final int endIndex;
  private final BlockingQueue<Integer> tokens = new LinkedBlockingQueue<>();
  private int prefillSteps;
  private int nextIndex;
  private volatile boolean cancelled;

  Generation(int priority, int prefillSteps, int firstIndex, int endIndex) {
    this.priority = priority;
    this.prefillSteps = prefillSteps;
    this.nextIndex = firstIndex;
    this.endIndex = endIndex;
  }

  int priority() {
    return priority;
  }

  int remaining() {
    return Math.max(0, endIndex - nextIndex);
  }

  void cancel() {
    cancelled = true;
  }

  void fail() {
    tokens.add(FAILED);
  }

  int awaitToken() throws InterruptedException {
    return tokens.take();
  }

  /** Advances by one step; returns whether more steps follow. */
  boolean step() {
    if (cancelled) {
      return false;
    }
    if (prefillSteps > 0) {
      prefillSteps--;
      return true;
    }
    tokens.add(nextIndex);
    nextIndex++;
    return nextIndex < endIndex;
  }
}
