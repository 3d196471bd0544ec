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
 * All endpoints with what this instance knows of them; chooses one for each call. Thread-safe.
 *
 * <p>The endpoint with the least expected delay gets the call. The estimate adds up the queue at
 * the endpoint, prompt tokens that it would have to read, its recent failures, and the distance; a
 * random factor keeps instances that see the same reports from choosing alike.
 */
public final class EndpointPool {
  /** Expected delay that each request on an engine adds to a new one, in milliseconds. */
  private static final double ENGINE_DELAY_PER_REQUEST_MS = 4;

  /** Expected delay when all slots of a plain endpoint are taken once, in milliseconds. */
  private static final double PLAIN_DELAY_PER_ROUND_MS = 60;

  /** Tokens of a prompt that an engine reads in a millisecond. */
  private static final double PROMPT_TOKENS_PER_MS = 19;

  /** Weight of an endpoint's recent failures, in milliseconds of expected delay. */
  private static final double FAILURE_DELAY_MS = 600;

  /** Delay that stands for the price of traffic to another data centre, in milliseconds. */
  private static final double DISTANCE_DELAY_MS = 6;

  /** Weight of an engine at which all streams suffer, in milliseconds of expected delay. */
  private static final double CROWDING_DELAY_MS = 400;

  private static final double RANDOM_SHARE = 0.15;

  private final String dataCentre;
  private final IntSupplier instances;
  private final RandomGenerator random;
  private final Map<EndpointIdentity, EndpointState> endpoints = new HashMap<>();

  /**
   * Returns an empty pool.
   *
   * @param dataCentre where this instance runs
   * @param instances live instances of the fleet
   */
  public EndpointPool(String dataCentre, IntSupplier instances, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.instances = instances;
    this.random = random;
  }

  /** Takes in the endpoints that are there; calls at others run on. */
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

  /** Chooses where a call goes, and takes a slot there if it goes anywhere. */
  public synchronized Choice choose(Selection selection, int connectionLimit, long nowNanos) {
    List<EndpointState> open = openEndpoints(selection);
    if (open.isEmpty()) {
      return new Choice.Unavailable("no endpoint");
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
      return new Choice.Unavailable("connection limit");
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

  /** Notes that bytes came from an endpoint. */
  public synchronized void heard(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.heard(nowNanos);
    }
  }

  /** Notes the load that an endpoint reported with an answer. */
  public synchronized void reported(EndpointIdentity identity, ReportedLoad load, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.reported(load, nowNanos);
    }
  }

  /** Notes how long the first byte of an answer took. */
  public synchronized void firstByte(EndpointIdentity identity, long nanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.firstByte((double) nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  /** Gives back the slot of a call. */
  public synchronized void ended(EndpointIdentity identity, CallResult result, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.ended(result, nowNanos);
    }
  }

  /** Notes that another endpoint answers at the address, so this incarnation is over. */
  public synchronized void replaced(EndpointIdentity identity) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.replaced();
    }
  }

  /** Notes that an endpoint said that it does not hold an artifact. */
  public synchronized void refute(EndpointIdentity identity, Artifact artifact, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.refute(artifact, nowNanos);
    }
  }

  /** Notes that an artifact was loaded, before the endpoint's own entry shows it. */
  public synchronized void announce(String endpointId, Artifact artifact) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().id().equals(endpointId))
        .forEach(state -> state.announce(artifact));
  }

  /** Notes that an artifact is dropped, before the endpoint's own entry shows it. */
  public synchronized void withdraw(String endpointId, Artifact artifact, long nowNanos) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().id().equals(endpointId))
        .forEach(state -> state.withdraw(artifact, nowNanos));
  }

  /** Tells whether an endpoint has calls in progress and has sent nothing for too long. */
  public synchronized boolean isSilent(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isSilent(nowNanos);
  }

  /** Tells whether connections to an endpoint could not be made lately. */
  public synchronized boolean isUnreachable(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isUnreachable(nowNanos);
  }

  /** Notes the time between two events of a stream, in milliseconds. */
  public synchronized void eventGap(EndpointIdentity identity, double milliseconds, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    if (state != null) {
      state.eventGap(milliseconds, nowNanos);
    }
  }

  /** Returns how much calls at an endpoint suffer from each other, from 0 (at ease) to 1. */
  public synchronized double crowding(EndpointIdentity identity, long nowNanos) {
    EndpointState state = endpoints.get(identity);
    return state == null ? 0 : state.crowding(nowNanos);
  }

  /** Tells whether an endpoint is still listed. */
  public synchronized boolean isListed(EndpointIdentity identity) {
    EndpointState state = endpoints.get(identity);
    return state != null && state.isOpen();
  }

  /** Returns the endpoints that are about to leave. */
  public synchronized List<String> draining() {
    return endpoints.values().stream()
        .map(EndpointState::entry)
        .filter(DirectoryEntry::draining)
        .map(entry -> entry.identity().toString())
        .toList();
  }

  /** Notes that an endpoint is about to leave, before its entry was read here. */
  public synchronized void drains(String identity) {
    endpoints.values().stream()
        .filter(state -> state.entry().identity().toString().equals(identity))
        .forEach(EndpointState::leaves);
  }

  /** Returns the number of endpoints of a service that take calls. */
  public synchronized int size(ServiceId service) {
    return (int)
        endpoints.values().stream()
            .filter(state -> state.isOpen() && state.entry().service().equals(service))
            .count();
  }
}
