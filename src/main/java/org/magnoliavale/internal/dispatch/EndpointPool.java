package org.magnoliavale.internal.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.logging.Logs;

/**
 * Tracks the state of all endpoints as seen by this instance, and selects one for each attempt.
 * Thread-safe.
 *
 * <p>Selects the endpoint with the least expected delay. The estimate adds up the queue at the
 * endpoint, the prompt tokens that are not in its cache, its recent failures, and the distance. A
 * random factor keeps instances that see the same reports from making the same choice.
 *
 * <p>An endpoint that disappears from the directory gets no new requests; its state is kept until
 * its last attempt has ended. Times are in nanoseconds of a monotonic clock.
 */
public final class EndpointPool {
  private static final Logger LOG = Logs.of("directory");

  /** Delay that each request on an engine adds to a new one, in milliseconds. */
  private static final double ENGINE_DELAY_PER_REQUEST_MS = 4;

  /** Delay when every slot of an endpoint without an engine is taken, in milliseconds. */
  private static final double FULL_SLOTS_DELAY_MS = 60;

  /** Prompt tokens that an engine processes per millisecond. */
  private static final double PROMPT_TOKENS_PER_MS = 19;

  /** Penalty for an endpoint of which all recent attempts failed, in milliseconds. */
  private static final double FAILURE_PENALTY_MS = 600;

  /** Penalty for the cost of traffic to another data centre, in milliseconds. */
  private static final double REMOTE_PENALTY_MS = 6;

  /** Penalty for an engine at which all streams are slowed down, in milliseconds. */
  private static final double SATURATION_PENALTY_MS = 400;

  private static final double RANDOM_FACTOR = 0.15;

  private final String dataCentre;
  private final IntSupplier instances;
  private final EndpointDepartures departures;
  private final EndpointLimits limits;
  private final RandomGenerator random;
  private final Map<EndpointIdentity, EndpointState> endpoints = new HashMap<>();
  private long updatedNanos;

  /**
   * Returns an empty pool.
   *
   * @param dataCentre the data centre of this instance
   * @param instances number of live instances in the fleet
   * @param departures endpoints that have left, which get no requests although they may be listed
   * @param limits how many requests endpoints take from the whole fleet
   * @param random source of the random factor in selections
   */
  public EndpointPool(
      String dataCentre,
      IntSupplier instances,
      EndpointDepartures departures,
      EndpointLimits limits,
      RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.instances = instances;
    this.departures = departures;
    this.limits = limits;
    this.random = random;
  }

  /** Applies a read of the directory. Attempts at endpoints that have disappeared continue. */
  public synchronized void update(Collection<DirectoryEntry> entries, long nowNanos) {
    Set<EndpointIdentity> present = new HashSet<>();
    updatedNanos = nowNanos;
    for (DirectoryEntry entry : entries) {
      present.add(entry.identity());
      endpoints.computeIfAbsent(entry.identity(), ignored -> add(entry, nowNanos)).update(entry);
    }
    endpoints.forEach((identity, state) -> state.setListed(present.contains(identity)));
    Set<EndpointIdentity> ended = new HashSet<>(endpoints.keySet());
    ended.removeIf(identity -> endpoints.get(identity).isInUse());
    endpoints.keySet().removeAll(ended);
    ended.forEach(limits::forget);
  }

  private static EndpointState add(DirectoryEntry entry, long nowNanos) {
    LOG.infof(
        "Endpoint added. endpoint=%s service=%s address=%s draining=%s heartbeat=%d",
        entry.identity(), entry.service(), entry.address(), entry.draining(), entry.heartbeat());
    return new EndpointState(entry, nowNanos);
  }

  /**
   * Selects an endpoint for a request and counts the request as in flight there.
   *
   * @param connectionLimit connections that an endpoint accepts from the whole fleet
   */
  public synchronized EndpointChoice choose(
      SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    List<EndpointState> available = availableEndpoints(criteria);
    if (available.isEmpty()) {
      return new EndpointChoice.Unavailable("no endpoint available");
    }
    List<EndpointState> eligible = new ArrayList<>(available);
    eligible.removeIf(state -> !holdsArtifact(state, criteria, nowNanos));
    if (eligible.isEmpty()) {
      return new EndpointChoice.AwaitArtifact(criteria.generation().orElseThrow().artifact());
    }
    removeFullyUsed(eligible, connectionLimit);
    if (eligible.isEmpty()) {
      return new EndpointChoice.Unavailable("connection limit reached at all endpoints");
    }
    eligible.forEach(state -> limits.recordWanted(state.entry().identity(), nowNanos));
    Optional<Duration> timeToNext = removeLimited(eligible, nowNanos);
    if (eligible.isEmpty()) {
      return new EndpointChoice.Deferred(timeToNext.orElse(Duration.ZERO));
    }
    List<EndpointState> healthy = new ArrayList<>(eligible);
    healthy.removeIf(state -> !state.isHealthy(nowNanos));
    return select(healthy.isEmpty() ? eligible : healthy, criteria, nowNanos);
  }

  /**
   * Selects an endpoint that is healthy and can take a request now, and counts the request as in
   * flight there; empty if there is none.
   *
   * @param connectionLimit connections that an endpoint accepts from the whole fleet
   */
  public synchronized Optional<EndpointChoice.Selected> chooseHealthy(
      SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    List<EndpointState> healthy = availableEndpoints(criteria);
    healthy.removeIf(state -> !state.isHealthy(nowNanos));
    healthy.removeIf(state -> !holdsArtifact(state, criteria, nowNanos));
    removeFullyUsed(healthy, connectionLimit);
    removeLimited(healthy, nowNanos);
    return healthy.isEmpty() ? Optional.empty() : Optional.of(select(healthy, criteria, nowNanos));
  }

  /** Removes the endpoints at which this instance uses all its connections. */
  private void removeFullyUsed(List<EndpointState> states, int connectionLimit) {
    int connectionShare = Math.max(1, connectionLimit / Math.max(1, instances.getAsInt()));
    states.removeIf(state -> state.inFlight() >= connectionShare);
  }

  /**
   * Removes the endpoints that take no request of this instance now; returns the time until the
   * first of them may take one.
   */
  private Optional<Duration> removeLimited(List<EndpointState> states, long nowNanos) {
    List<EndpointIdentity> limited =
        states.stream()
            .map(state -> state.entry().identity())
            .filter(identity -> !limits.allows(identity, nowNanos))
            .toList();
    states.removeIf(state -> limited.contains(state.entry().identity()));
    return limited.stream()
        .map(identity -> limits.timeToNext(identity, nowNanos))
        .min(Comparator.naturalOrder());
  }

  private EndpointChoice.Selected select(
      List<EndpointState> candidates, SelectionCriteria criteria, long nowNanos) {
    EndpointState best = leastDelayed(candidates, criteria, nowNanos);
    double load = best.load(instances.getAsInt(), nowNanos);
    best.attemptStarted(criteria.generation(), nowNanos);
    limits.take(best.entry().identity());
    return new EndpointChoice.Selected(
        best.entry(),
        load,
        best.reportAgeMs(nowNanos),
        TimeUnit.NANOSECONDS.toMillis(nowNanos - updatedNanos));
  }

  /** Returns whether an endpoint holds what a request needs; one for no model needs nothing. */
  private static boolean holdsArtifact(
      EndpointState state, SelectionCriteria criteria, long nowNanos) {
    return criteria
        .generation()
        .map(generation -> state.holds(generation.artifact(), nowNanos))
        .orElse(true);
  }

  private List<EndpointState> availableEndpoints(SelectionCriteria criteria) {
    List<EndpointState> available = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      DirectoryEntry entry = state.entry();
      if (entry.service().equals(criteria.service())
          && !criteria.excluded().contains(entry.identity())
          && accepts(state)) {
        available.add(state);
      }
    }
    return available;
  }

  private boolean accepts(EndpointState state) {
    return state.isAvailable() && !departures.includes(state.entry());
  }

  private EndpointState leastDelayed(
      List<EndpointState> candidates, SelectionCriteria criteria, long nowNanos) {
    EndpointState best = null;
    double bestDelay = Double.MAX_VALUE;
    for (EndpointState state : candidates) {
      double delay = expectedDelayMs(state, criteria, nowNanos);
      delay *= 1 + RANDOM_FACTOR * random.nextDouble();
      if (best == null || delay < bestDelay) {
        best = state;
        bestDelay = delay;
      }
    }
    return best;
  }

  private double expectedDelayMs(EndpointState state, SelectionCriteria criteria, long nowNanos) {
    double load = state.load(instances.getAsInt(), nowNanos);
    double delay =
        criteria
            .generation()
            .map(generation -> engineDelayMs(state, generation, load, nowNanos))
            .orElseGet(() -> plainDelayMs(state, load));
    if (!state.entry().dataCentre().equals(dataCentre)) {
      delay += REMOTE_PENALTY_MS;
    }
    return delay + FAILURE_PENALTY_MS * state.failureRate() + 1;
  }

  private static double engineDelayMs(
      EndpointState state, GenerationRequest generation, double load, long nowNanos) {
    double overload = Math.max(0, load - state.entry().slots() + 1);
    return state.firstByteMs() / 2
        + load * ENGINE_DELAY_PER_REQUEST_MS
        + overload * overload * ENGINE_DELAY_PER_REQUEST_MS
        + state.saturation(nowNanos) * SATURATION_PENALTY_MS
        + state.prefixCache().uncachedTokens(generation) / PROMPT_TOKENS_PER_MS;
  }

  private static double plainDelayMs(EndpointState state, double load) {
    return state.firstByteMs() / 2
        + load / Math.max(1, state.entry().slots()) * FULL_SLOTS_DELAY_MS;
  }

  /** Records that bytes were received from an endpoint. */
  public synchronized void recordActivity(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.recordActivity(nowNanos);
    }
  }

  /** Records the load that an endpoint reported with a response. */
  public synchronized void recordLoad(EndpointIdentity identity, ReportedLoad load, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.recordLoad(load, nowNanos);
    }
  }

  /** Records the time to the first byte of a response. */
  public synchronized void recordFirstByte(EndpointIdentity identity, long nanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.recordFirstByte((double) nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  /** Takes back a selection after which no attempt was made. */
  public synchronized void releaseSelection(EndpointIdentity identity, long nowNanos) {
    limits.giveBack(identity);
    attemptEnded(identity, AttemptOutcome.INCONCLUSIVE, nowNanos);
  }

  /** Ends an attempt and records its outcome. */
  public synchronized void attemptEnded(
      EndpointIdentity identity, AttemptOutcome outcome, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.attemptEnded(outcome, nowNanos);
    }
  }

  /** Records that another incarnation answers at the address, so that this one has ended. */
  public synchronized void markReplaced(EndpointIdentity identity) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.markReplaced();
    }
  }

  /** Records that an endpoint rejected a request because it does not hold an artifact. */
  public synchronized void recordMissing(
      EndpointIdentity identity, Artifact artifact, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.recordMissing(artifact, nowNanos);
    }
  }

  /** Records that an artifact was loaded, before the endpoint's own entry shows it. */
  public synchronized void recordLoaded(String endpointId, Artifact artifact) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().id().equals(endpointId))
        .forEach(state -> state.recordLoaded(artifact));
  }

  /** Records that an artifact is being unloaded, before the endpoint's own entry shows it. */
  public synchronized void recordUnloading(String endpointId, Artifact artifact, long nowNanos) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().id().equals(endpointId))
        .forEach(state -> state.recordUnloading(artifact, nowNanos));
  }

  /** Returns whether an endpoint has attempts in flight and has sent nothing for too long. */
  public synchronized boolean isUnresponsive(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isUnresponsive(nowNanos);
  }

  /** Returns whether the last connection attempt to an endpoint failed a short time ago. */
  public synchronized boolean isUnreachable(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isUnreachable(nowNanos);
  }

  /** Records the time between two events of a stream, in milliseconds. */
  public synchronized void recordEventInterval(
      EndpointIdentity identity, double milliseconds, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.recordEventInterval(milliseconds, nowNanos);
    }
  }

  /**
   * Returns how much requests slow each other down, from 0 (not at all) to 1 (all of them); 1 also
   * for an endpoint that takes fewer than there are.
   */
  public synchronized double saturation(EndpointIdentity identity, long nowNanos) {
    if (limits.isExceeded(identity)) {
      return 1;
    }
    EndpointState state = endpoints.get(identity);
    return state == null ? 0 : state.saturation(nowNanos);
  }

  /** Returns whether an endpoint is listed and accepts new requests. */
  public synchronized boolean isAvailable(EndpointIdentity identity) {
    EndpointState state = endpoints.get(identity);
    return state != null && accepts(state);
  }

  /** Returns the identities of endpoints whose entries show them as draining. */
  public synchronized List<String> draining() {
    return endpoints.values().stream()
        .map(EndpointState::entry)
        .filter(DirectoryEntry::draining)
        .map(entry -> entry.identity().toString())
        .toList();
  }

  /** Returns the number of endpoints of a service that accept new requests. */
  public synchronized int size(ServiceId service) {
    return (int)
        endpoints.values().stream()
            .filter(state -> state.entry().service().equals(service) && accepts(state))
            .count();
  }
}
