package org.magnoliavale.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;

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
  /** Delay that each request on an engine adds to a new one, in milliseconds. */
  private static final double ENGINE_DELAY_PER_REQUEST_MS = 4;

  /** Delay when every slot of an endpoint without an engine is taken, in milliseconds. */
  private static final double PLAIN_DELAY_PER_ROUND_MS = 60;

  /** Prompt tokens that an engine processes per millisecond. */
  private static final double PROMPT_TOKENS_PER_MS = 19;

  /** Penalty for an endpoint of which all recent attempts failed, in milliseconds. */
  private static final double FAILURE_DELAY_MS = 600;

  /** Penalty for the cost of traffic to another data centre, in milliseconds. */
  private static final double DISTANCE_DELAY_MS = 6;

  /** Penalty for an engine at which all streams are slowed down, in milliseconds. */
  private static final double CROWDING_DELAY_MS = 400;

  private static final double RANDOM_SHARE = 0.15;

  private final String dataCentre;
  private final IntSupplier instances;
  private final RandomGenerator random;
  private final Map<EndpointIdentity, EndpointState> endpoints = new HashMap<>();

  /**
   * Returns an empty pool.
   *
   * @param dataCentre the data centre of this instance
   * @param instances number of live instances in the fleet
   * @param random source of the random factor in selections
   */
  public EndpointPool(String dataCentre, IntSupplier instances, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.instances = instances;
    this.random = random;
  }

  /** Applies a read of the directory. Attempts at endpoints that have disappeared continue. */
  public synchronized void update(Collection<DirectoryEntry> entries, long nowNanos) {
    Set<EndpointIdentity> present = new HashSet<>();
    for (DirectoryEntry entry : entries) {
      present.add(entry.identity());
      endpoints
          .computeIfAbsent(entry.identity(), ignored -> new EndpointState(entry, nowNanos))
          .update(entry);
    }
    endpoints.forEach((identity, state) -> state.setListed(present.contains(identity)));
    endpoints
        .values()
        .removeIf(state -> !present.contains(state.entry().identity()) && state.inFlight() == 0);
  }

  /**
   * Selects an endpoint for a request and counts the request as in flight there.
   *
   * @param connectionLimit connections that an endpoint accepts from the whole fleet
   */
  public synchronized Choice choose(Selection selection, int connectionLimit, long nowNanos) {
    List<EndpointState> open = openEndpoints(selection);
    if (open.isEmpty()) {
      return new Choice.Unavailable("no endpoint available");
    }
    List<EndpointState> able = new ArrayList<>(open);
    if (selection.generation().isPresent()) {
      Artifact artifact = selection.generation().get().artifact();
      able.removeIf(state -> !state.holds(artifact, nowNanos));
      if (able.isEmpty()) {
        return new Choice.AwaitArtifact(artifact);
      }
    }
    int share = Math.max(1, connectionLimit / Math.max(1, instances.getAsInt()));
    able.removeIf(state -> state.inFlight() >= share);
    if (able.isEmpty()) {
      return new Choice.Unavailable("connection limit reached at all endpoints");
    }
    List<EndpointState> healthy = new ArrayList<>(able);
    healthy.removeIf(state -> !state.isHealthy(nowNanos));
    EndpointState best = cheapest(healthy.isEmpty() ? able : healthy, selection, nowNanos);
    double load = best.load(instances.getAsInt(), nowNanos);
    best.sent(selection.generation(), nowNanos);
    return new Choice.Send(best.entry(), load, best.reportAgeMs(nowNanos));
  }

  private List<EndpointState> openEndpoints(Selection selection) {
    List<EndpointState> open = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      DirectoryEntry entry = state.entry();
      if (state.isOpen()
          && entry.service().equals(selection.service())
          && !selection.excluded().contains(entry.identity())) {
        open.add(state);
      }
    }
    return open;
  }

  private EndpointState cheapest(
      List<EndpointState> candidates, Selection selection, long nowNanos) {
    EndpointState best = null;
    double bestDelay = Double.MAX_VALUE;
    for (EndpointState state : candidates) {
      double delay = expectedDelayMs(state, selection, nowNanos);
      delay *= 1 + RANDOM_SHARE * random.nextDouble();
      if (delay < bestDelay) {
        best = state;
        bestDelay = delay;
      }
    }
    return best;
  }

  private double expectedDelayMs(EndpointState state, Selection selection, long nowNanos) {
    double load = state.load(instances.getAsInt(), nowNanos);
    double delay =
        selection
            .generation()
            .map(generation -> engineDelayMs(state, generation, load, nowNanos))
            .orElseGet(() -> plainDelayMs(state, load));
    if (!state.entry().dataCentre().equals(dataCentre)) {
      delay += DISTANCE_DELAY_MS;
    }
    return delay + FAILURE_DELAY_MS * state.failureShare() + 1;
  }

  private static double engineDelayMs(
      EndpointState state, Generation generation, double load, long nowNanos) {
    double overload = Math.max(0, load - state.entry().slots() + 1);
    return state.firstByteMs() / 2
        + load * ENGINE_DELAY_PER_REQUEST_MS
        + overload * overload * ENGINE_DELAY_PER_REQUEST_MS
        + state.crowding(nowNanos) * CROWDING_DELAY_MS
        + state.prompts().missingTokens(generation) / PROMPT_TOKENS_PER_MS;
  }

  private static double plainDelayMs(EndpointState state, double load) {
    return state.firstByteMs() / 2
        + load / Math.max(1, state.entry().slots()) * PLAIN_DELAY_PER_ROUND_MS;
  }

  /** Records that bytes were received from an endpoint. */
  public synchronized void heard(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.heard(nowNanos);
    }
  }

  /** Records the load that an endpoint reported with a response. */
  public synchronized void reported(EndpointIdentity identity, ReportedLoad load, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.reported(load, nowNanos);
    }
  }

  /** Records the time to the first byte of a response. */
  public synchronized void firstByte(EndpointIdentity identity, long nanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.firstByte((double) nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  /** Ends an attempt and records its outcome. */
  public synchronized void ended(EndpointIdentity identity, CallResult result, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.ended(result, nowNanos);
    }
  }

  /** Records that another incarnation answers at the address, so that this one has ended. */
  public synchronized void replaced(EndpointIdentity identity) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.replaced();
    }
  }

  /** Records that an endpoint rejected a request because it does not hold an artifact. */
  public synchronized void refute(EndpointIdentity identity, Artifact artifact, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.refute(artifact, nowNanos);
    }
  }

  /** Records that an artifact was loaded, before the endpoint's own entry shows it. */
  public synchronized void announce(String endpointId, Artifact artifact) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().id().equals(endpointId))
        .forEach(state -> state.announce(artifact));
  }

  /** Records that an artifact is being unloaded, before the endpoint's own entry shows it. */
  public synchronized void withdraw(String endpointId, Artifact artifact, long nowNanos) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().id().equals(endpointId))
        .forEach(state -> state.withdraw(artifact, nowNanos));
  }

  /** Returns whether an endpoint has attempts in flight and has sent nothing for too long. */
  public synchronized boolean isSilent(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isSilent(nowNanos);
  }

  /** Returns whether the last connection attempt to an endpoint failed a short time ago. */
  public synchronized boolean isUnreachable(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isUnreachable(nowNanos);
  }

  /** Records the time between two events of a stream, in milliseconds. */
  public synchronized void eventGap(EndpointIdentity identity, double milliseconds, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.eventGap(milliseconds, nowNanos);
    }
  }

  /** Returns how much requests slow each other down, from 0 (not at all) to 1 (all of them). */
  public synchronized double crowding(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state == null ? 0 : state.crowding(nowNanos);
  }

  /** Returns whether an endpoint is listed and accepts new requests. */
  public synchronized boolean isListed(EndpointIdentity identity) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isOpen();
  }

  /** Returns the identities of endpoints whose entries show them as draining. */
  public synchronized List<String> draining() {
    return endpoints.values().stream()
        .map(EndpointState::entry)
        .filter(DirectoryEntry::draining)
        .map(entry -> entry.identity().toString())
        .toList();
  }

  /** Marks an endpoint as draining before its entry has been read here. */
  public synchronized void drains(String identity) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().toString().equals(identity))
        .forEach(EndpointState::leaves);
  }

  /** Returns the number of endpoints of a service that accept new requests. */
  public synchronized int size(ServiceId service) {
    return (int)
        endpoints.values().stream()
            .filter(state -> state.isOpen() && state.entry().service().equals(service))
            .count();
  }
}
