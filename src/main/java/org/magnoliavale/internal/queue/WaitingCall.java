package org.magnoliavale.internal.queue;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.magnoliavale.internal.identifier.TenantId;

/**
 * A call that waits for an endpoint, as the queue sees it.
 *
 * @param number unique in its instance; grows with the time at which calls begin to wait
 * @param queue the queue that it belongs to
 * @param tenant the tenant of its caller; calls without one count as those of one tenant
 * @param weight the tenant's share of what is served, in proportion to those of other tenants
 * @param priority 0 is the most urgent; a negative one is for calls whose response has begun
 * @param tokens how much work it is; at least 1
 * @param dueNanos when it is to be started, which decides the order; the further its target lies
 *     ahead, the longer before the latest start, so that it does not have to win a race then
 * @param latestStartNanos the latest time at which an endpoint can start it and meet its target
 * @param limitNanos the latest time at which an endpoint can start it and answer its caller at all
 */
public record WaitingCall(
    long number,
    QueueId queue,
    Optional<TenantId> tenant,
    double weight,
    int priority,
    int tokens,
    long dueNanos,
    long latestStartNanos,
    long limitNanos) {
  /** Orders calls by the time at which they are to be started. */
  static final Comparator<WaitingCall> BY_DUE_TIME = byTime(WaitingCall::dueNanos);

  /** Orders calls by the latest time at which they can start in time. */
  static final Comparator<WaitingCall> BY_LATEST_START = byTime(WaitingCall::latestStartNanos);

  private static Comparator<WaitingCall> byTime(ToLongFunction<WaitingCall> nanos) {
    return (one, other) -> {
      // A difference, since monotonic times may overflow.
      long difference = nanos.applyAsLong(one) - nanos.applyAsLong(other);
      return difference == 0 ? Long.compare(one.number, other.number) : Long.signum(difference);
    };
  }

  /** Bounds the amount of work and the weight. */
  public WaitingCall {
    tokens = Math.max(1, tokens);
    weight = weight > 0 && Double.isFinite(weight) ? weight : 1;
  }

  /** Returns whether its target can't be met any more. */
  public boolean isLate(long nowNanos) {
    return latestStartNanos - nowNanos < 0;
  }
}
