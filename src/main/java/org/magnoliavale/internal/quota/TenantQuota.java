package org.magnoliavale.internal.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.limit.TokenBucket;
import org.magnoliavale.internal.route.Quota;

/**
 * One tenant's quota at one instance: what all instances have used of it, as far as this one knows,
 * and this instance's share of the rest. Not thread-safe.
 *
 * <p>Two conditions must hold for a request. The instance's token bucket, which gets its share of
 * the quota's rate, must have no debt; so the tenant gets its rate as long as it asks for more. And
 * what this instance has granted since its peers last heard of it must be within its share of what
 * the window has left; so all instances together keep within the window even if none hears of the
 * others' grants.
 */
final class TenantQuota {
  /** Share of a quota that is parted evenly, so that instances without demand can start. */
  private static final double EVEN_SHARE = 0.05;

  /** Rate of all buckets, in quotas: makes up for shares of instances that do not use them. */
  private static final double BUCKET_RATE = 1.04;

  /** Depth of all buckets, in parts of what is allowed beyond the rate, while all are in touch. */
  private static final double POOLED_DEPTH = 2;

  /** Depth of all buckets, in such parts, if some instances do not hear of each other. */
  private static final double SEPARATE_DEPTH = 0.5;

  /**
   * Part of the units left that an instance may use before its peers hear of it, if few are used.
   */
  private static final double LIGHT_ALLOWANCE = 0.5;

  /** Part of a window's units that is used, since news is on its way. */
  private static final double KEPT_PART = 0.95;

  /** Part of a window's units that is left if few are used. */
  private static final double LIGHT_PART = 0.1;

  /** Part of its allowance after whose use an instance tells its peers at once. */
  private static final double URGENT_PART = 0.25;

  /** Part of the quota's rate by which the demand must change for peers to be told at once. */
  private static final double URGENT_CHANGE = 0.1;

  /** Longest time before a peer's heartbeat in which its latest use is counted. */
  private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final QuotaBounds bounds;
  private final UsageWindow fleetUse;
  private final UsageWindow ownUse;
  private final TokenBucket bucket;
  private final DemandEstimate demand = new DemandEstimate();
  private final AnnouncedDemand announced;
  private final Map<String, PeerUse> peers = new HashMap<>();
  private Quota quota;
  private double used;
  private double returned;
  private double share;
  private double fleetDemand;
  private boolean urgent;

  TenantQuota(Quota quota, QuotaBounds bounds, long nowNanos) {
    this.quota = quota;
    this.bounds = bounds;
    fleetUse = new UsageWindow(bounds.window(), nowNanos);
    ownUse = new UsageWindow(bounds.window(), nowNanos);
    bucket = new TokenBucket(nowNanos);
    announced = new AnnouncedDemand(nowNanos);
  }

  Quota quota() {
    return quota;
  }

  /** Changes the quota. A lower one does not count what was used before. */
  void change(Quota newQuota) {
    if (bounds.unitsInWindow(newQuota) < bounds.unitsInWindow(quota)) {
      fleetUse.clear();
      ownUse.clear();
    }
    quota = newQuota;
  }

  /** Computes this instance's share of the quota. */
  void updateShare(FleetContact fleet, long nowNanos) {
    share = fleet.isListed() ? shareByDemand(fleet, nowNanos) : FleetContact.UNLISTED_SHARE;
    double reserve = bounds.reserve(quota);
    double depth = reserve * (fleet.isInTouch() ? POOLED_DEPTH : SEPARATE_DEPTH);
    bucket.setRate(share * quota.perSecond() * BUCKET_RATE, share * depth, nowNanos);
  }

  private double shareByDemand(FleetContact fleet, long nowNanos) {
    peers.keySet().retainAll(fleet.peers());
    double even = EVEN_SHARE * Math.max(1, quota.perSecond()) / fleet.size();
    double own = announced.known(nowNanos) + even;
    double peerDemand = peers.values().stream().mapToDouble(PeerUse::demand).sum();
    fleetDemand = announced.announced() + peerDemand;
    double total = own + peerDemand + even * fleet.peers().size();
    return own / total * fleet.heardPart();
  }

  /** Records that a caller asks for units. */
  void recordDemand(double units, long nowNanos) {
    demand.record(units, nowNanos);
    double unannounced = demand.perSecond(nowNanos) - announced.announced();
    urgent |= unannounced > URGENT_CHANGE * quota.perSecond() + announced.announced() / 2;
  }

  /** Takes units if the quota allows them; returns whether it does. */
  boolean take(double units, FleetContact fleet, long nowNanos) {
    double left = left(fleet, nowNanos);
    double unheard = unheard(fleet, nowNanos);
    boolean light = fleet.isInTouch() && left > LIGHT_PART * mostInWindow();
    double shared = share * (left + unheard);
    double allowance = light ? Math.max(shared, LIGHT_ALLOWANCE * left) : shared;
    urgent |= unheard + units > URGENT_PART * shared;
    boolean hasDebt = bucket.available(nowNanos) <= 0;
    if (unheard + units > allowance || hasDebt && !light) {
      return false;
    }
    bucket.take(units);
    record(units, nowNanos);
    return true;
  }

  private void record(double units, long nowNanos) {
    fleetUse.add(units, nowNanos);
    ownUse.add(units, nowNanos);
    double offset = Math.min(returned, units);
    returned -= offset;
    used += units - offset;
  }

  /** Gives back units of a request that has not been executed. */
  void giveBack(double units, long nowNanos) {
    bucket.giveBack(units);
    fleetUse.add(-units, nowNanos);
    ownUse.add(-units, nowNanos);
    returned += units;
  }

  private double left(FleetContact fleet, long nowNanos) {
    double earlier = mostInWindow() * fleet.unknownPart(bounds, nowNanos);
    return Math.max(0, mostInWindow() - earlier - fleetUse.total(nowNanos));
  }

  private double mostInWindow() {
    return bounds.unitsInWindow(quota) * KEPT_PART;
  }

  /** Returns what this instance has used and not all peers know of. */
  private double unheard(FleetContact fleet, long nowNanos) {
    return Math.max(0, ownUse.since(fleet.heardUntilNanos(nowNanos), nowNanos));
  }

  /** Returns the time until a request that was not granted may be granted. */
  Duration timeToNext(double units, FleetContact fleet, long nowNanos) {
    double rate = Math.max(share, FleetContact.UNLISTED_SHARE) * quota.perSecond();
    double debtSeconds = -bucket.available(nowNanos) / rate;
    double limit = mostInWindow() - units;
    double windowSeconds = fleetUse.timeUntil(limit, nowNanos).toNanos() / NANOS_PER_SECOND;
    double unitSeconds = units / quota.perSecond();
    double seconds = Math.max(unitSeconds, Math.max(debtSeconds, windowSeconds));
    return Duration.ofNanos((long) (Math.min(seconds, bounds.windowSeconds()) * NANOS_PER_SECOND));
  }

  /**
   * Applies what a peer has said.
   *
   * @param sinceNanos when it spoke before; {@code saidNanos} if this is the first time
   */
  void learn(
      String peer, TenantUse use, long startMs, long sinceNanos, long saidNanos, long nowNanos) {
    PeerUse last = peers.get(peer);
    double increase =
        last == null ? use.recent() : last.increase(startMs, use.used(), use.recent());
    // Rather counted too long than too short: a peer speaks at once after a jump.
    long betweenNanos = Math.min((saidNanos - sinceNanos) / 2, RECENT_NANOS);
    boolean first = sinceNanos == saidNanos;
    long fromNanos = saidNanos - (first ? bounds.window().toNanos() : betweenNanos);
    fleetUse.addEvenly(increase, fromNanos, saidNanos, nowNanos);
    peers.put(peer, new PeerUse(startMs, use.demand(), use.used()));
  }

  /** Applies that a peer has said nothing of this tenant. */
  void learnNoDemand(String peer) {
    peers.computeIfPresent(peer, (id, last) -> new PeerUse(last.startMs(), 0, last.used()));
  }

  /** Returns whether peers should be told at once. */
  boolean isUrgent() {
    return urgent;
  }

  /** Returns what peers are to be told now. */
  TenantUse announce(TenantId id, boolean atOnce, long newsNanos, long nowNanos) {
    urgent = false;
    announced.announce(demand.perSecond(nowNanos), atOnce, newsNanos, nowNanos);
    double recent = Math.max(0, ownUse.total(nowNanos));
    return new TenantUse(id, announced.announced(), used, recent);
  }

  /** Returns what callers ask of all instances, in units a second. */
  double fleetDemand() {
    return fleetDemand;
  }

  /** Returns this instance's share of the quota. */
  double share() {
    return share;
  }
}
