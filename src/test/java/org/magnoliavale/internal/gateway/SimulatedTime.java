package org.magnoliavale.internal.gateway;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A virtual clock with actions that run at set times, in the order in which they were set. */
final class SimulatedTime {
  private static final int START_MS = 100_000;

  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime == 0 ? Long.compare(order, other.order) : byTime;
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private int nowMs;
  private long order;

  int nowMs() {
    return nowMs;
  }

  /** Returns the time as the product's monotonic clock gives it. */
  long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(START_MS + nowMs);
  }

  /** Runs an action later. */
  void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, order++, action));
  }

  /** Advances the clock by a millisecond and runs what is due. */
  void step() {
    nowMs++;
    while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
      events.poll().action().run();
    }
  }
}
