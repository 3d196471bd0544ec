package org.magnoliavale.internal.call;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.collection.BoundedMap;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;

/**
 * Finds the requests and prompt segments that were in flight when an endpoint crashed. Thread-safe.
 *
 * <p>A lost connection alone does not prove a crash. It counts as one only if the endpoint is found
 * to be down, or replaced by a later incarnation, within 5 s. The endpoint is probed at once: in a
 * large fleet an instance seldom sends anything to the same endpoint again so soon.
 *
 * <p>Requests share the segments of their prompts, so a segment that many have is in flight in many
 * crashes that another one caused. A complete answer proves a segment harmless and lifts its count,
 * and a segment that has been answered before is only blocked after more crashes.
 */
public final class CrashDetector {
  /** Number of crashes from which a segment that has been answered before is blocked. */
  private static final int ANSWERED_SEGMENT_CRASH_LIMIT = 5;

  /** Limit of lost connections that are remembered; the oldest are dropped first. */
  private static final int MAXIMUM_LOST_CONNECTIONS = 1_024;

  private static final int MAXIMUM_DOWN_ENDPOINTS = 256;
  private static final int MAXIMUM_PROBED_ENDPOINTS = 256;

  /** Time between two probes of the same incarnation. */
  private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final int MAXIMUM_ANSWERED_SEGMENTS = 8_192;

  /** Time between a lost connection and the failure that confirms a crash. */
  private static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private record LostConnection(CrashKeys keys, EndpointIdentity endpoint, long nanos) {}

  private final CrashRegistry registry;
  private final EndpointProbe probe;
  private final Deque<LostConnection> lostConnections = new ArrayDeque<>();
  private final BoundedMap<EndpointIdentity, Long> downSince =
      BoundedMap.evictingEldest(MAXIMUM_DOWN_ENDPOINTS);
  private final BoundedMap<EndpointIdentity, Long> probedAt =
      BoundedMap.evictingEldest(MAXIMUM_PROBED_ENDPOINTS);
  private final BoundedMap<Fingerprint, Long> answeredSegments =
      BoundedMap.evictingLeastRecentlyUsed(MAXIMUM_ANSWERED_SEGMENTS);

  /** Creates a detector that records crashes in {@code registry}. */
  public CrashDetector(CrashRegistry registry, EndpointProbe probe) {
    this.registry = registry;
    this.probe = probe;
  }

  /**
   * Returns whether a request, or a segment of its prompt, was in flight in too many crashes for
   * the request to be sent.
   */
  public synchronized boolean isBlocked(CrashKeys keys) {
    return registry.crashes(keys.request()) >= CrashRegistry.CRASH_LIMIT
        || keys.segments().stream().anyMatch(this::isSegmentBlocked);
  }

  private boolean isSegmentBlocked(Fingerprint segment) {
    boolean answered = answeredSegments.containsKey(segment);
    int limit = answered ? ANSWERED_SEGMENT_CRASH_LIMIT : CrashRegistry.CRASH_LIMIT;
    return registry.crashes(segment) >= limit;
  }

  /**
   * Records that a connection was lost while the endpoint may have been executing a request whose
   * answer had not begun.
   */
  public synchronized void connectionLost(CrashKeys keys, DirectoryEntry endpoint, long nanos) {
    LostConnection lost = new LostConnection(keys, endpoint.identity(), nanos);
    Long down = downSince.get(endpoint.identity());
    if (down != null && nanos - down <= CONFIRMATION_TIMEOUT_NANOS) {
      recordCrash(lost);
      return;
    }
    if (lostConnections.size() >= MAXIMUM_LOST_CONNECTIONS) {
      lostConnections.removeFirst();
    }
    lostConnections.addLast(lost);
    Long probed = probedAt.get(endpoint.identity());
    if (probed == null || nanos - probed >= PROBE_INTERVAL_NANOS) {
      probedAt.put(endpoint.identity(), nanos);
      probe.probe(endpoint);
    }
  }

  /** Records that an endpoint accepts no connection or has been replaced by another incarnation. */
  public synchronized void endpointDown(EndpointIdentity endpoint, long nanos) {
    downSince.put(endpoint, nanos);
    Iterator<LostConnection> iterator = lostConnections.iterator();
    while (iterator.hasNext()) {
      LostConnection lost = iterator.next();
      boolean expired = nanos - lost.nanos() > CONFIRMATION_TIMEOUT_NANOS;
      boolean confirmed = !expired && lost.endpoint().equals(endpoint);
      if (confirmed) {
        recordCrash(lost);
      }
      if (expired || confirmed) {
        iterator.remove();
      }
    }
  }

  /** Finds endpoints that have been replaced by a later incarnation, in a read of the directory. */
  public synchronized void endpointsListed(Collection<EndpointIdentity> listed, long nanos) {
    Map<String, EndpointIdentity> byId = new HashMap<>();
    listed.forEach(identity -> byId.put(identity.id(), identity));
    lostConnections.stream()
        .map(LostConnection::endpoint)
        .distinct()
        .filter(lost -> isReplaced(lost, byId.get(lost.id())))
        .toList()
        .forEach(lost -> endpointDown(lost, nanos));
  }

  private static boolean isReplaced(EndpointIdentity lost, EndpointIdentity listed) {
    return listed != null && listed.startedAtMs() > lost.startedAtMs();
  }

  private void recordCrash(LostConnection lost) {
    String incarnation = lost.endpoint().toString();
    lost.keys().all().stream()
        .filter(key -> !isAnsweredSince(key, lost.nanos()))
        .forEach(key -> registry.recordCrash(key, incarnation));
  }

  /** Returns whether a segment was answered completely after a crash that is confirmed later. */
  private boolean isAnsweredSince(Fingerprint key, long nanos) {
    Long answered = answeredSegments.get(key);
    return answered != null && answered - nanos > 0;
  }

  /** Clears the crash counts of a request that was answered completely, and of its segments. */
  public synchronized void answered(CrashKeys keys, long nanos) {
    for (Fingerprint key : keys.all()) {
      if (registry.crashes(key) > 0) {
        registry.lift(key);
      }
    }
    keys.segments().forEach(segment -> answeredSegments.put(segment, nanos));
  }
}
