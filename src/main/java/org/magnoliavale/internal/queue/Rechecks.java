package org.magnoliavale.internal.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * When queues are tried again although no event has told of room: as a precaution, since room may
 * come without an event at this instance.
 */
public final class Rechecks {
  private static final long MINIMUM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long MAXIMUM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Largest part of an interval that is left out, so that instances don't try at once. */
  private static final double MAXIMUM_JITTER = 0.5;

  private record Recheck(long nanos, long intervalNanos) {}

  private final Map<QueueId, Recheck> next = new HashMap<>();
  private final RandomGenerator random;

  /** Returns an object that knows no queue; {@code random} spreads the tries of instances. */
  public Rechecks(RandomGenerator random) {
    this.random = random;
  }

  /** Plans a try at the next opportunity: calls have begun to wait, or some have been served. */
  public void soon(QueueId queue, long nowNanos) {
    next.put(queue, new Recheck(nowNanos, MINIMUM_INTERVAL_NANOS / 2));
  }

  /** Plans a try after one that found no room; the interval grows with each of them. */
  public void later(QueueId queue, long nowNanos) {
    Recheck last = next.get(queue);
    long doubled = last == null ? MINIMUM_INTERVAL_NANOS : 2 * last.intervalNanos();
    long interval = Math.min(MAXIMUM_INTERVAL_NANOS, doubled);
    double part = 1 - MAXIMUM_JITTER * random.nextDouble();
    next.put(queue, new Recheck(nowNanos + (long) (part * interval), interval));
  }

  /** Returns whether a try is planned. */
  public boolean isPlanned(QueueId queue) {
    return next.containsKey(queue);
  }

  /** Forgets a queue, because no call waits in it. */
  public void forget(QueueId queue) {
    next.remove(queue);
  }

  /** Returns the queues that are to be tried now. */
  public List<QueueId> due(long nowNanos) {
    List<QueueId> due = new ArrayList<>();
    next.forEach(
        (queue, recheck) -> {
          if (nowNanos - recheck.nanos() >= 0) {
            due.add(queue);
          }
        });
    return due;
  }
}
