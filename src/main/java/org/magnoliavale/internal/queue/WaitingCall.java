package org.magnoliavale.internal.queue;

import java.util.Comparator;
import java.util.Optional;
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
    long latestStartNanos,
    long limitNanos) {
  /** Orders calls by the latest time at which they can start in time. */
  static final Comparator<WaitingCall> BY_LATEST_START =
      (one, other) ->
          one.latestStartNanos == other.latestStartNanos
              ? Long.compare(one.number, other.number)
              // A difference, since monotonic times may overflow.
              : Long.signum(one.latestStartNanos - other.latestStartNanos);

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
