package org.magnoliavale.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;

/**
 * The endpoints that are listed or have attempts in flight, with what is known of their services.
 * Not thread-safe.
 */
final class EndpointTable {
  private static final Logger LOG = Logs.of("directory");

  private final EndpointDepartures departures;
  private final RandomGenerator random;
  private final Map<EndpointIdentity, EndpointState> endpoints = new HashMap<>();
  private final Map<Integer, EndpointState> byLoadKey = new HashMap<>();
  private final Map<ServiceId, ServicePace> paces = new HashMap<>();

  EndpointTable(EndpointDepartures departures, RandomGenerator random) {
    this.departures = departures;
    this.random = random;
  }

  /** Applies a read of the directory; returns the incarnations that are no longer in use. */
  Set<EndpointIdentity> update(Collection<DirectoryEntry> entries, long nowNanos) {
    Set<EndpointIdentity> present = new HashSet<>();
    for (DirectoryEntry entry : entries) {
      present.add(entry.identity());
      endpoints.computeIfAbsent(entry.identity(), ignored -> add(entry, nowNanos)).update(entry);
    }
    endpoints.forEach((identity, state) -> state.setListed(present.contains(identity)));
    Set<EndpointIdentity> ended = new HashSet<>(endpoints.keySet());
    ended.removeIf(identity -> endpoints.get(identity).isInUse());
    endpoints.keySet().removeAll(ended);
    indexLoadKeys();
    return ended;
  }

  /** Maps a key that two endpoints share to none of them. */
  private void indexLoadKeys() {
    byLoadKey.clear();
    for (EndpointState state : endpoints.values()) {
      boolean ambiguous = byLoadKey.containsKey(state.loadKey());
      byLoadKey.put(state.loadKey(), ambiguous ? null : state);
    }
  }

  private EndpointState add(DirectoryEntry entry, long nowNanos) {
    LOG.infof(
        "Endpoint added. endpoint=%s service=%s address=%s draining=%s heartbeat=%d",
        entry.identity(), entry.service(), entry.address(), entry.draining(), entry.heartbeat());
    ServicePace pace = paces.computeIfAbsent(entry.service(), ignored -> new ServicePace());
    return new EndpointState(entry, pace, random.nextLong(), nowNanos);
  }

  Optional<EndpointState> find(EndpointIdentity identity) {
    return Optional.ofNullable(endpoints.get(identity));
  }

  /** Returns the endpoint with a load key; empty if there is none, or more than one. */
  Optional<EndpointState> findByLoadKey(int loadKey) {
    return Optional.ofNullable(byLoadKey.get(loadKey));
  }

  /** Returns all incarnations of the endpoint with a name. */
  List<EndpointState> ofEndpoint(String endpointId) {
    return endpoints.values().stream()
        .filter(state -> state.entry().identity().id().equals(endpointId))
        .toList();
  }

  /** Returns the endpoints of a service, also those that accept no new requests. */
  List<EndpointState> ofService(ServiceId service) {
    return endpoints.values().stream()
        .filter(state -> state.entry().service().equals(service))
        .toList();
  }

  Stream<EndpointState> all() {
    return endpoints.values().stream();
  }

  /** Returns whether an endpoint is listed and accepts new requests. */
  boolean accepts(EndpointState state) {
    return state.isAvailable() && !departures.includes(state.entry());
  }
}
