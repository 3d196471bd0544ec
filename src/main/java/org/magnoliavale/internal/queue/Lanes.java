package org.magnoliavale.internal.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.magnoliavale.internal.identifier.TenantId;

/**
 * Calls of one priority that can all be served in time, or are all late: a lane for each tenant,
 * with the call first that is due first.
 */
final class Lanes {
  /** Calls of a lane that are counted one by one; the rest counts as being ahead. */
  private static final int MAXIMUM_COUNTED = 128;

  private final Map<Optional<TenantId>, TreeSet<WaitingCall>> lanes = new HashMap<>();
  private int size;

  int size() {
    return size;
  }

  void add(WaitingCall call) {
    TreeSet<WaitingCall> lane =
        lanes.computeIfAbsent(call.tenant(), ignored -> new TreeSet<>(WaitingCall.BY_DUE_TIME));
    if (lane.add(call)) {
      size++;
    }
  }

  boolean contains(WaitingCall call) {
    TreeSet<WaitingCall> lane = lanes.get(call.tenant());
    return lane != null && lane.contains(call);
  }

  boolean remove(WaitingCall call) {
    TreeSet<WaitingCall> lane = lanes.get(call.tenant());
    if (lane == null || !lane.remove(call)) {
      return false;
    }
    size--;
    if (lane.isEmpty()) {
      lanes.remove(call.tenant());
    }
    return true;
  }

  /**
   * Returns the call that is served first, without those in {@code passedOver}: of the tenants that
   * have been served about least, the one that is due first.
   */
  Optional<WaitingCall> first(TenantShares shares, Set<WaitingCall> passedOver) {
    double leastTag = Double.MAX_VALUE;
    for (Map.Entry<Optional<TenantId>, TreeSet<WaitingCall>> lane : lanes.entrySet()) {
      if (first(lane.getValue(), passedOver) != null) {
        leastTag = Math.min(leastTag, shares.tag(lane.getKey()));
      }
    }
    WaitingCall best = null;
    for (Map.Entry<Optional<TenantId>, TreeSet<WaitingCall>> lane : lanes.entrySet()) {
      WaitingCall call = first(lane.getValue(), passedOver);
      if (call != null
          && shares.tag(lane.getKey()) <= leastTag + TenantShares.TOLERANCE_TOKENS
          && (best == null || WaitingCall.BY_DUE_TIME.compare(call, best) < 0)) {
        best = call;
      }
    }
    return Optional.ofNullable(best);
  }

  private static WaitingCall first(TreeSet<WaitingCall> lane, Set<WaitingCall> passedOver) {
    for (WaitingCall call : lane) {
      if (passedOver.isEmpty() || !passedOver.contains(call)) {
        return call;
      }
    }
    return null;
  }

  /**
   * Returns about how many calls are served before this one: those ahead in its own lane, and as
   * many of each other tenant.
   */
  int ahead(WaitingCall call) {
    int own = aheadInLane(call);
    int ahead = own;
    for (Map.Entry<Optional<TenantId>, TreeSet<WaitingCall>> lane : lanes.entrySet()) {
      if (!lane.getKey().equals(call.tenant())) {
        ahead += Math.min(lane.getValue().size(), aheadOf(lane.getValue(), call, own + 1));
      }
    }
    return ahead;
  }

  private int aheadInLane(WaitingCall call) {
    TreeSet<WaitingCall> lane = lanes.get(call.tenant());
    return lane == null ? 0 : aheadOf(lane, call, Integer.MAX_VALUE);
  }

  /** Counts the calls of a lane that are due before {@code call}, up to {@code limit}. */
  private static int aheadOf(TreeSet<WaitingCall> lane, WaitingCall call, int limit) {
    int counted = 0;
    for (WaitingCall other : lane) {
      if (counted >= limit || WaitingCall.BY_DUE_TIME.compare(other, call) >= 0) {
        return counted;
      }
      if (counted == MAXIMUM_COUNTED) {
        return Math.min(limit, lane.size());
      }
      counted++;
    }
    return counted;
  }
}
