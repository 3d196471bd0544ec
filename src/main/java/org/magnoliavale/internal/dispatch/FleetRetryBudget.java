package org.magnoliavale.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * This instance's share of the fleet-wide retry budget per service. Thread-safe.
 *
 * <p>In every sliding window the fleet may retry a ratio of the requests plus a fixed reserve. An
 * instance uses the ratio of its own requests and an equal part of the reserve, so no coordination
 * is needed. Part of the allowance stays unused, because changes in the number of instances are
 * noticed late.
 */
public final class FleetRetryBudget {
  /** Share of the allowance that may be used. */
  private static final double USED_SHARE = 0.7;

  /**
   * Start of this instance. In its first window it uses half of its part of the reserve, because a
   * predecessor may have used some.
   */
  private final long startNanos;

  private static final class Window {
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();
  }

  private double ratio;
  private double reserve;
  private long windowNanos;
  private final IntSupplier instances;
  private final Map<ServiceId, Window> windows = new HashMap<>();

  /**
   * Returns a budget.
   *
   * @param ratio retries per request
   * @param reserve fleet-wide retries per window regardless of the requests
   * @param windowNanos length of the sliding window
   * @param instances number of live instances in the fleet
   * @param startNanos when this instance started
   */
  public FleetRetryBudget(
      double ratio, double reserve, long windowNanos, IntSupplier instances, long startNanos) {
    this.ratio = ratio;
    this.reserve = reserve;
    this.windowNanos = windowNanos;
    this.instances = instances;
    this.startNanos = startNanos;
  }

  /** Changes the limits; requests and retries that were recorded still count. */
  public synchronized void updateLimits(double newRatio, double newReserve, long newWindowNanos) {
    ratio = newRatio;
    reserve = newReserve;
    windowNanos = newWindowNanos;
  }

  /** Records a request to a service. */
  public synchronized void recordRequest(ServiceId service, long nowNanos) {
    window(service, nowNanos).requests.addLast(nowNanos);
  }

  /** Takes one retry from the budget; returns whether there was one left. */
  public synchronized boolean trySpend(ServiceId service, long nowNanos) {
    if (!hasRetryLeft(service, nowNanos)) {
      return false;
    }
    window(service, nowNanos).retries.addLast(nowNanos);
    return true;
  }

  /** Returns whether there is a retry left, without taking it. */
  public synchronized boolean hasRetryLeft(ServiceId service, long nowNanos) {
    Window window = window(service, nowNanos);
    double reserveShare = reserve / Math.max(1, instances.getAsInt());
    boolean recentlyStarted = nowNanos - startNanos < windowNanos;
    double allowance =
        ratio * window.requests.size() + (recentlyStarted ? reserveShare / 2 : reserveShare);
    return window.retries.size() + 1 <= allowance * USED_SHARE;
  }

  private Window window(ServiceId service, long nowNanos) {
    Window window = windows.computeIfAbsent(service, ignored -> new Window());
    expire(window.requests, nowNanos);
    expire(window.retries, nowNanos);
    return window;
  }

  private void expire(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.getFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}
