package org.magnoliavale.internal.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Which part of the calls of each priority that come to wait is served. Shows a priority that gets
 * far less than all others do, because more urgent calls take every endpoint.
 */
final class PriorityShares {
  /** Time constant of the exponential decay, in seconds. */
  private static final double DECAY_TIME_S = 5;

  /** Share of the common part below which a priority is served too little. */
  private static final double MINIMUM_SHARE = 0.3;

  /** Calls below which too little is known of a priority. */
  private static final double MINIMUM_ARRIVALS = 2;

  private static final class Count {
    private double arrived;
    private double served;
    private long lastNanos;

    private Count(long nowNanos) {
      lastNanos = nowNanos;
    }

    private Count at(long nowNanos) {
      double seconds = Math.max(0, nowNanos - lastNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      double decay = Math.exp(-seconds / DECAY_TIME_S);
      arrived *= decay;
      served *= decay;
      lastNanos = nowNanos;
      return this;
    }

    private double part() {
      return arrived == 0 ? 0 : Math.min(1, served / arrived);
    }
  }

  private final Map<Integer, Count> counts = new HashMap<>();
  private final Count all;

  PriorityShares(long nowNanos) {
    all = new Count(nowNanos);
  }

  void recordArrived(int priority, long nowNanos) {
    count(priority, nowNanos).arrived++;
    all.at(nowNanos).arrived++;
  }

  void recordServed(int priority, long nowNanos) {
    count(priority, nowNanos).served++;
    all.at(nowNanos).served++;
  }

  private Count count(int priority, long nowNanos) {
    return counts.computeIfAbsent(priority, ignored -> new Count(nowNanos)).at(nowNanos);
  }

  /** Returns whether calls of a priority are served far less often than all are. */
  boolean isServedTooLittle(int priority, long nowNanos) {
    Count count = count(priority, nowNanos);
    return count.arrived >= MINIMUM_ARRIVALS
        && count.part() < MINIMUM_SHARE * all.at(nowNanos).part();
  }
}
