package org.magnoliavale.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * This instance's share of the repeats that the whole fleet may send to a service. Thread-safe.
 *
 * <p>In every window the fleet may send a share of the requests and a fixed reserve again. An
 * instance uses its own requests and an equal part of the reserve, so nothing has to be asked. A
 * part is held back, because the number of instances is known late.
 */
public final class FleetRetryBudget {
  /** Share of the allowance that is used. */
  private static final double USED_SHARE = 0.7;

  /** Time after its start in which an instance takes none of what a predecessor may have used. */
  private final long startNanos;

  private static final class Window {
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();
  }

  private final double ratio;
  private final double reserve;
  private final long windowNanos;
  private final IntSupplier instances;
  private final Map<ServiceId, Window> windows = new HashMap<>();

  /**
   * Returns a budget.
   *
   * @param ratio repeats for each request
   * @param reserve repeats in a window whatever the requests
   * @param windowNanos length of the window
   * @param instances live instances of the fleet
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

  /** Notes a request to a service. */
  public synchronized void request(ServiceId service, long nowNanos) {
    window(service, nowNanos).requests.addLast(nowNanos);
  }

  /** Takes one repeat, if there is one. */
  public synchronized boolean trySpend(ServiceId service, long nowNanos) {
    Window window = window(service, nowNanos);
    double part = reserve / Math.max(1, instances.getAsInt());
    boolean young = nowNanos - startNanos < windowNanos;
    double allowance = ratio * window.requests.size() + (young ? part / 2 : part);
    if (window.repeats.size() + 1 > allowance * USED_SHARE) {
      return false;
    }
    window.repeats.addLast(nowNanos);
    return true;
  }

  private Window window(ServiceId service, long nowNanos) {
    Window window = windows.computeIfAbsent(service, ignored -> new Window());
    expire(window.requests, nowNanos);
    expire(window.repeats, nowNanos);
    return window;
  }

  private void expire(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.getFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}
