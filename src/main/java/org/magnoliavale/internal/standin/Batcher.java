package org.magnoliavale.internal.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import org.magnoliavale.Service;
import org.magnoliavale.internal.collection.BoundedMap;

/**
 * Simulates continuous batching: each step generates one token for every running request. The
 * duration of a step grows with the number of running requests; with all slots in use the engine
 * reaches its nominal throughput. One daemon thread runs the steps; all methods are thread-safe.
 */
final class Batcher implements Service {
  // Part of the duration of a full step that does not depend on the batch size.
  private static final double FIXED_STEP_SHARE = 0.4;
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int MAXIMUM_CACHED_PREFIXES = 32;
  private static final int PREFILL_CHARACTERS_PER_STEP = 2_048;

  private final int slots;
  private final double tokensPerSecond;
  private final List<Generation> running = new ArrayList<>();
  private final List<Generation> waiting = new ArrayList<>();
  private final Map<Integer, Boolean> cachedPrefixes =
      BoundedMap.evictingLeastRecentlyUsed(MAXIMUM_CACHED_PREFIXES);
  private volatile double slowdown = 1;
  private volatile boolean stopped;

  Batcher(int slots, double tokensPerSecond) {
    this.slots = slots;
    this.tokensPerSecond = tokensPerSecond;
  }

  @Override
  public void start() {
    Thread.ofPlatform().daemon().name("batcher").start(this::runSteps);
  }

  @Override
  public synchronized void stop() {
    stopped = true;
    notifyAll();
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Returns the number of steps that the prefill of a prompt takes; a cached prefix takes none. */
  synchronized int prefillSteps(String prefix, String prompt) {
    boolean cached = cachedPrefixes.put(prefix.hashCode(), true) != null;
    int characters = cached ? prompt.length() - prefix.length() : prompt.length();
    return Math.ceilDiv(characters, PREFILL_CHARACTERS_PER_STEP);
  }

  synchronized void add(Generation generation) {
    waiting.add(generation);
    waiting.sort(Comparator.comparingInt(Generation::priority).reversed());
    notifyAll();
  }

  synchronized void failAll() {
    running.forEach(Generation::fail);
    waiting.forEach(Generation::fail);
    running.clear();
    waiting.clear();
    cachedPrefixes.clear();
  }

  synchronized int runningCount() {
    return running.size();
  }

  synchronized int waitingCount() {
    return waiting.size();
  }

  synchronized long queuedTokens() {
    long tokens = 0;
    for (Generation generation : running) {
      tokens += generation.remaining();
    }
    for (Generation generation : waiting) {
      tokens += generation.remaining();
    }
    return tokens;
  }

  private void runSteps() {
    long nextStepNanos = System.nanoTime();
    while (!stopped) {
      int batchSize = admit();
      if (batchSize == 0) {
        nextStepNanos = System.nanoTime();
        continue;
      }
      // Each deadline is computed from the previous one, so that late wake-ups do not accumulate.
      nextStepNanos =
          Math.max(nextStepNanos, System.nanoTime() - stepNanos(batchSize)) + stepNanos(batchSize);
      sleepUntil(nextStepNanos);
      step();
    }
  }

  private synchronized int admit() {
    while (running.size() < slots && !waiting.isEmpty()) {
      running.add(waiting.removeFirst());
    }
    if (running.isEmpty() && !stopped) {
      try {
        wait();
      } catch (InterruptedException e) {
        stopped = true;
      }
    }
    return running.size();
  }

  private synchronized void step() {
    running.removeIf(generation -> !generation.step());
  }

  private long stepNanos(int batchSize) {
    double fullStep = slots / tokensPerSecond * NANOSECONDS_PER_SECOND;
    double durationShare = FIXED_STEP_SHARE + (1 - FIXED_STEP_SHARE) * batchSize / slots;
    return (long) (fullStep * durationShare * slowdown);
  }

  private static void sleepUntil(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = nanos - System.nanoTime();
    }
  }
}
