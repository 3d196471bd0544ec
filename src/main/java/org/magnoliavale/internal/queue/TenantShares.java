package org.magnoliavale.internal.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliavale.internal.identifier.TenantId;

/**
 * Shares what is served between the tenants of a service: start-time fair queueing by tokens.
 *
 * <p>Each tenant has a start tag that grows by the tokens that it is served, divided by its weight.
 * A tenant with a lower tag is served first, so one that sends far more than others waits behind
 * its own calls; but none is served less than about a quarter as often as all. A tenant that had
 * nothing to send gains no credit: its tag is at least the virtual time, which follows the tags of
 * what is served.
 */
final class TenantShares {
  /**
   * Weighted tokens by which tags may differ without a tenant being served first; among such
   * tenants the most urgent call goes first.
   */
  static final double TOLERANCE_TOKENS = 4_000;

  /** Weighted tokens that a tenant may be served in advance, and has to wait for later. */
  private static final double MAXIMUM_LEAD_TOKENS = 50_000;

  /** Factor of the weight of a tenant that is served far less often than all are. */
  private static final double NEGLECTED_WEIGHT_FACTOR = 4;

  private static final int MAXIMUM_TENANTS = 1_000;

  private final Map<Optional<TenantId>, Double> finishTags = new HashMap<>();
  private final ServedShares<Optional<TenantId>> shares;
  private double virtualTime;

  TenantShares(long nowNanos) {
    shares = new ServedShares<>(nowNanos);
  }

  /** Returns a tenant's start tag. */
  double tag(Optional<TenantId> tenant) {
    return Math.max(finishTags.getOrDefault(tenant, 0.0), virtualTime);
  }

  /** Counts a call that has begun to wait. */
  void recordArrived(WaitingCall call, long nowNanos) {
    shares.recordArrived(call.tenant(), nowNanos);
  }

  /** Counts a call that has been served. */
  void recordServed(WaitingCall call, long nowNanos) {
    double start = tag(call.tenant());
    virtualTime = Math.max(virtualTime, start - TOLERANCE_TOKENS);
    double weight = call.weight();
    if (shares.isServedTooLittle(call.tenant(), nowNanos)) {
      weight *= NEGLECTED_WEIGHT_FACTOR;
    }
    shares.recordServed(call.tenant(), nowNanos);
    double finish = start + call.tokens() / weight;
    finishTags.put(call.tenant(), Math.min(finish, virtualTime + MAXIMUM_LEAD_TOKENS));
    if (finishTags.size() > MAXIMUM_TENANTS) {
      finishTags.values().removeIf(tag -> tag <= virtualTime);
    }
  }
}
