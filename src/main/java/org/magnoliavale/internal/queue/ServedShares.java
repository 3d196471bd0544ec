package org.magnoliavale.internal.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Which part of the calls that come to wait is served, for each priority or tenant. Shows one that
 * gets far less than all others do.
 */
final class ServedShares<K> {
  /** Time constant of the exponential decay, in seconds. */
  private static final double DECAY_TIME_S = 5;

  /** Share of the common part below which a key is served too little. */
  private static final double MINIMUM_SHARE = 0.3;

  /** Calls below which too little is known of a key. */
  private static final double MINIMUM_ARRIVALS = 2;

  /** Calls below which a key is forgotten. */
  private static final double NEGLIGIBLE_ARRIVALS = 0.1;

  private static final int MAXIMUM_KEYS = 1_000;

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

  private final Map<K, Count> counts = new HashMap<>();
  private final Count all;

  ServedShares(long nowNanos) {
    all = new Count(nowNanos);
  }

  void recordArrived(K key, long nowNanos) {
    count(key, nowNanos).arrived++;
    all.at(nowNanos).arrived++;
  }

  void recordServed(K key, long nowNanos) {
    count(key, nowNanos).served++;
    all.at(nowNanos).served++;
  }

  private Count count(K key, long nowNanos) {
    if (counts.size() > MAXIMUM_KEYS) {
      counts.values().removeIf(count -> count.at(nowNanos).arrived < NEGLIGIBLE_ARRIVALS);
    }
    return counts.computeIfAbsent(key, ignored -> new Count(nowNanos)).at(nowNanos);
  }

  /** Returns whether calls of a key are served far less often than all are. */
  boolean isServedTooLittle(K key, long nowNanos) {
    Count count = count(key, nowNanos);
    return count.arrived >= MINIMUM_ARRIVALS
        && count.part() < MINIMUM_SHARE * all.at(nowNanos).part();
  }
}
