package org.magnoliavale.internal.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.collection.BoundedMap;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LimitStatement;
import org.magnoliavale.internal.logging.Logs;

/**
 * The limits that endpoints name in their responses, this instance's share of each, and the pauses
 * that endpoints ask this instance for. Thread-safe.
 *
 * <p>A limit is for all instances together and holds from the response that names it to one that
 * names none; peers are told both. It is parted by demand: an instance that has all the calls gets
 * all of it, and one that hears only a part of the fleet uses no more than that part's share. An
 * instance that does not know the fleet yet sends nothing to an endpoint with a limit. A request
 * that is not allowed is never delayed; the caller of this class selects another endpoint, or
 * rejects the call.
 *
 * <p>Times are in nanoseconds of a monotonic clock.
 */
public final class EndpointLimits {
  private static final Logger LOG = Logs.of("directory");
  private static final int MAXIMUM_REMEMBERED = 1_024;

  /** Time for which peers are told that an endpoint names no limit any more. */
  private static final long ANNOUNCEMENT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * What an endpoint has said to an instance.
   *
   * @param limit the limit in requests a second; absent if the endpoint names none any more
   * @param ageNanos time since it said so
   */
  public record Statement(EndpointIdentity endpoint, OptionalDouble limit, long ageNanos) {}

  /** How much an instance would send to an endpoint with a limit, in requests a second. */
  public record Demand(EndpointIdentity endpoint, double requestsPerSecond) {}

  private final LongFunction<FleetView> fleet;
  private final Map<EndpointIdentity, EndpointLimit> limits =
      BoundedMap.evictingLeastRecentlyUsed(MAXIMUM_REMEMBERED);
  private boolean unannounced;

  /**
   * Returns limits of which none is known yet.
   *
   * @param fleet the instances that share the endpoints, at a time
   */
  public EndpointLimits(LongFunction<FleetView> fleet) {
    this.fleet = fleet;
  }

  /** Returns the limits of an instance that is the only one. */
  public static EndpointLimits ofSingleInstance() {
    return new EndpointLimits(nanos -> FleetView.ofSingleInstance());
  }

  /**
   * Applies what a response says.
   *
   * @param sentNanos when the request was sent
   */
  public synchronized void observe(
      EndpointIdentity endpoint, LimitStatement statement, long sentNanos, long nowNanos) {
    switch (statement) {
      case LimitStatement.Limited(double rate) ->
          heard(endpoint, OptionalDouble.of(rate), sentNanos, nowNanos);
      case LimitStatement.Unlimited() -> {
        if (isStated(endpoint)) {
          heard(endpoint, OptionalDouble.empty(), sentNanos, nowNanos);
        }
      }
      case LimitStatement.Unknown() -> {}
    }
  }

  private void heard(
      EndpointIdentity endpoint, OptionalDouble newLimit, long sentNanos, long nowNanos) {
    EndpointLimit limit = limit(endpoint, nowNanos);
    if (limit.heard(newLimit, sentNanos, nowNanos)) {
      changed(endpoint, limit, nowNanos);
      unannounced = true;
    }
  }

  private boolean isStated(EndpointIdentity endpoint) {
    EndpointLimit limit = limits.get(endpoint);
    return limit != null && limit.isStated();
  }

  private EndpointLimit limit(EndpointIdentity endpoint, long nowNanos) {
    return limits.computeIfAbsent(endpoint, id -> new EndpointLimit(id.toString(), nowNanos));
  }

  private void changed(EndpointIdentity endpoint, EndpointLimit limit, long nowNanos) {
    LOG.infof(
        "Endpoint limit changed. endpoint=%s requests-per-second=%s heard-here=%s",
        endpoint, limit.isInForce() ? limit.limit().getAsDouble() : "-", limit.isHeardHere());
    limit.updateShare(fleet.apply(nowNanos), nowNanos);
  }

  /** Allows no request to an endpoint for a time; it has asked this instance alone for that. */
  public synchronized void pause(EndpointIdentity endpoint, Duration time, long nowNanos) {
    LOG.infof("Endpoint asks for a pause. endpoint=%s ms=%d", endpoint, time.toMillis());
    limit(endpoint, nowNanos).pauseUntil(nowNanos + time.toNanos());
  }

  /** Applies what an endpoint has said to a peer. */
  public synchronized void learn(Statement statement, long nowNanos) {
    EndpointIdentity endpoint = statement.endpoint();
    if (statement.limit().isEmpty() && !isStated(endpoint)) {
      return;
    }
    EndpointLimit known = limit(endpoint, nowNanos);
    if (known.learned(statement.limit(), nowNanos - statement.ageNanos())) {
      changed(endpoint, known, nowNanos);
    }
  }

  /** Applies how much a peer would send. */
  public synchronized void learnDemand(String peer, Collection<Demand> demands) {
    for (Demand demand : demands) {
      EndpointLimit limit = limits.get(demand.endpoint());
      if (limit != null) {
        limit.recordPeerDemand(peer, demand.requestsPerSecond());
      }
    }
  }

  /** Records that a call could be sent to an endpoint. */
  public synchronized void recordWanted(EndpointIdentity endpoint, long nowNanos) {
    EndpointLimit limit = limits.get(endpoint);
    if (limit != null && limit.isInForce()) {
      limit.recordWanted(nowNanos);
    }
  }

  /** Returns whether a request may be sent to an endpoint. */
  public synchronized boolean allows(EndpointIdentity endpoint, long nowNanos) {
    EndpointLimit limit = limits.get(endpoint);
    return limit == null
        || limit.allowsAll(nowNanos)
        || limit.allows(fleet.apply(nowNanos), nowNanos);
  }

  /** Returns whether an endpoint has a limit, and calls ask for more than that. */
  public synchronized boolean isExceeded(EndpointIdentity endpoint) {
    EndpointLimit limit = limits.get(endpoint);
    return limit != null && limit.isExceeded();
  }

  /** Takes a request that is allowed. */
  public synchronized void take(EndpointIdentity endpoint) {
    EndpointLimit limit = limits.get(endpoint);
    if (limit != null) {
      limit.take();
    }
  }

  /** Takes a request back that has not been sent. */
  public synchronized void giveBack(EndpointIdentity endpoint) {
    EndpointLimit limit = limits.get(endpoint);
    if (limit != null) {
      limit.giveBack();
    }
  }

  /** Returns the time until an endpoint that allows no request now may allow one again. */
  public synchronized Duration timeToNext(EndpointIdentity endpoint, long nowNanos) {
    EndpointLimit limit = limits.get(endpoint);
    double seconds = limit == null ? 0 : limit.secondsToNext(nowNanos);
    return Duration.ofMillis((long) (seconds * TimeUnit.SECONDS.toMillis(1)));
  }

  /** Forgets the limit of an incarnation that has ended. */
  public synchronized void forget(EndpointIdentity endpoint) {
    limits.remove(endpoint);
  }

  /** Returns whether an endpoint has changed its limit since the last call. */
  public synchronized boolean takeNews() {
    boolean news = unannounced;
    unannounced = false;
    return news;
  }

  /** Returns what endpoints have said to this instance, to be told to peers. */
  public synchronized List<Statement> statements(long nowNanos) {
    List<Statement> statements = new ArrayList<>();
    limits.forEach(
        (endpoint, limit) -> {
          long ageNanos = nowNanos - limit.statedNanos();
          if (limit.isHeardHere() && (limit.isInForce() || ageNanos < ANNOUNCEMENT_NANOS)) {
            statements.add(new Statement(endpoint, limit.limit(), ageNanos));
          }
        });
    return statements;
  }

  /** Returns how much this instance would send, to be told to peers. */
  public synchronized List<Demand> demands(long nowNanos) {
    FleetView view = fleet.apply(nowNanos);
    List<Demand> demands = new ArrayList<>();
    limits.forEach(
        (endpoint, limit) -> {
          if (limit.isInForce()) {
            limit.updateShare(view, nowNanos);
            demands.add(new Demand(endpoint, limit.announcedDemand(view, nowNanos)));
          }
        });
    return demands;
  }
}
