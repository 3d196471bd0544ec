package org.magnoliavale.internal.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * What is known of one endpoint's limit, this instance's share of it, and for how long the endpoint
 * wants no request at all. Not thread-safe.
 */
final class EndpointLimit {
  /** Share of a limit that is parted evenly, so that instances without demand can start. */
  private static final double EVEN_SHARE = 0.1;

  private static final Duration DEMAND_MEAN_AGE = Duration.ofSeconds(2);

  /** Time for which a share accrues. */
  private static final double MAXIMUM_SAVED_SECONDS = 0.25;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long SHARE_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final String endpoint;
  private final DecayingRate wanted = new DecayingRate(DEMAND_MEAN_AGE);
  private final Map<String, Double> peerDemand = new HashMap<>();
  private final TokenBucket saved;
  private OptionalDouble limit = OptionalDouble.empty();
  private long statedNanos;
  private boolean stated;
  private boolean heardHere;

  /** Own demand that peers are told now. */
  private double announcedDemand;

  /** Own demand that peers have been told for long enough to go by it. */
  private double knownDemand;

  private long announcedNanos;
  private long pausedUntilNanos;
  private long shareNanos;
  private boolean shareOutdated = true;

  EndpointLimit(String endpoint, long nowNanos) {
    this.endpoint = endpoint;
    this.saved = new TokenBucket(nowNanos);
    this.announcedNanos = nowNanos;
    this.pausedUntilNanos = nowNanos;
  }

  boolean isInForce() {
    return limit.isPresent();
  }

  /** Returns the limit in requests a second; absent if the endpoint names none. */
  OptionalDouble limit() {
    return limit;
  }

  /** Returns whether the endpoint has said anything of a limit. */
  boolean isStated() {
    return stated;
  }

  /** Returns when the endpoint last said so. */
  long statedNanos() {
    return statedNanos;
  }

  /** Returns whether the endpoint has said so to this instance itself. */
  boolean isHeardHere() {
    return heardHere;
  }

  /**
   * Applies a response to this instance. Responses overtake each other, so one to a request that
   * was sent before the last one arrived may only lower the limit.
   *
   * @param newLimit the limit; absent if the response names none
   * @return whether the limit has changed
   */
  boolean heard(OptionalDouble newLimit, long sentNanos, long nowNanos) {
    boolean mayBeOlder = stated && sentNanos - statedNanos < 0;
    if (mayBeOlder && rate(newLimit) > rate(limit)) {
      return false;
    }
    heardHere = true;
    return state(newLimit, nowNanos);
  }

  /**
   * Applies what an endpoint has said to a peer.
   *
   * @param saidNanos when it said so
   * @return whether the limit has changed
   */
  boolean learned(OptionalDouble newLimit, long saidNanos) {
    if (stated && saidNanos - statedNanos <= 0) {
      return false;
    }
    boolean changed = !newLimit.equals(limit);
    heardHere &= !changed;
    return state(newLimit, saidNanos);
  }

  private boolean state(OptionalDouble newLimit, long saidNanos) {
    boolean changed = !newLimit.equals(limit);
    limit = newLimit;
    statedNanos = saidNanos;
    stated = true;
    shareOutdated |= changed;
    return changed;
  }

  private static double rate(OptionalDouble limit) {
    return limit.orElse(Double.POSITIVE_INFINITY);
  }

  /** Records that a call could be sent to the endpoint. */
  void recordWanted(long nowNanos) {
    wanted.record(1, nowNanos);
  }

  /** Records how much a peer would send. */
  void recordPeerDemand(String peer, double requestsPerSecond) {
    peerDemand.put(peer, requestsPerSecond);
  }

  /** Returns what peers are to be told of this instance's demand, in requests a second. */
  double announcedDemand(FleetView fleet, long nowNanos) {
    if (nowNanos - announcedNanos >= fleet.newsNanos()) {
      knownDemand = announcedDemand;
      announcedDemand = wanted.perSecond(nowNanos);
      announcedNanos = nowNanos;
    }
    return announcedDemand;
  }

  /** Returns whether any number of requests may be sent to the endpoint. */
  boolean allowsAll(long nowNanos) {
    return !isInForce() && !isPaused(nowNanos);
  }

  /** Returns whether a request may be sent to the endpoint. */
  boolean allows(FleetView fleet, long nowNanos) {
    updateShare(fleet, nowNanos);
    return !isPaused(nowNanos) && (!isInForce() || isRequestSaved(nowNanos));
  }

  private boolean isRequestSaved(long nowNanos) {
    return saved.available(nowNanos) >= 1 && saved.perSecond() > 0;
  }

  private boolean isPaused(long nowNanos) {
    return pausedUntilNanos - nowNanos > 0;
  }

  /** Allows no request until a time, if none is allowed until then already. */
  void pauseUntil(long nanos) {
    if (nanos - pausedUntilNanos > 0) {
      pausedUntilNanos = nanos;
    }
  }

  /** Computes this instance's share if the last one is out of date. */
  void updateShare(FleetView fleet, long nowNanos) {
    boolean valid = !shareOutdated && nowNanos - shareNanos < SHARE_VALIDITY_NANOS;
    if (!isInForce() || valid) {
      return;
    }
    shareOutdated = false;
    shareNanos = nowNanos;
    announcedDemand(fleet, nowNanos);
    double share = fleet.listed() ? share(fleet) : 0;
    saved.setRate(share, Math.max(1, share * MAXIMUM_SAVED_SECONDS), nowNanos);
  }

  private double share(FleetView fleet) {
    double reachableLimit =
        limit.getAsDouble() * (fleet.size() - fleet.silentInstances()) / fleet.size();
    double even = EVEN_SHARE * limit.getAsDouble() / fleet.size();
    peerDemand.keySet().retainAll(fleet.peers());
    Map<String, Double> demand = new HashMap<>();
    demand.put(fleet.self(), knownDemand + even);
    for (String peer : fleet.peers()) {
      // A peer that has not said yet what it would send counts like this instance.
      demand.put(peer, peerDemand.getOrDefault(peer, knownDemand) + even);
    }
    return LimitShare.of(endpoint, reachableLimit, fleet.self(), demand);
  }

  /** Returns whether all instances together would send more than the limit. */
  boolean isExceeded() {
    double peers = peerDemand.values().stream().mapToDouble(Double::doubleValue).sum();
    return isInForce() && announcedDemand + peers > rate(limit);
  }

  /** Takes a request that is allowed. */
  void take() {
    if (isInForce()) {
      saved.take(1);
    }
  }

  /** Takes a request back that has not been sent. */
  void giveBack() {
    if (isInForce()) {
      saved.giveBack(1);
    }
  }

  /** Returns the time until this instance, or else any one, may send a request. */
  double secondsToNext(long nowNanos) {
    double pauseSeconds = Math.max(0, pausedUntilNanos - nowNanos) / NANOS_PER_SECOND;
    double limitSeconds = isInForce() ? Math.min(saved.secondsTo(1), 1 / rate(limit)) : 0;
    return Math.max(pauseSeconds, limitSeconds);
  }
}
