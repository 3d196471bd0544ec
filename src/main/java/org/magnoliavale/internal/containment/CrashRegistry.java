package org.magnoliavale.internal.containment;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.logging.Logs;

/**
 * Counts, over the whole fleet, in how many endpoint crashes each request or prompt segment was in
 * flight. Thread-safe.
 *
 * <p>Each instance notes the crashes that it observes and sends them to the others; a crash that
 * several instances observe counts once. The count of a request that is answered completely is
 * lifted, so that requests that only shared an endpoint with the cause of a crash are not blocked.
 * A suspect is sent only to endpoints where no other suspect is in flight, so that the next crash
 * identifies the cause.
 */
public final class CrashRegistry {
  /** Number of crashes from which a request is blocked. */
  public static final int CRASH_LIMIT = 3;

  /** Time without a further crash after which a count expires, in milliseconds. */
  public static final long EXPIRY_MS = 600_000;

  /** Time for which the other instances are told of a lift, in milliseconds. */
  static final long LIFT_ANNOUNCEMENT_MS = 30_000;

  private static final Logger LOG = Logs.of("containment");

  /** Maximum number of counts that are sent at a time. */
  private static final int MAXIMUM_SENT_COUNTS = 256;

  private record InstanceCrashes(Set<String> crashes, long lastMs) {}

  /** Counts of one request by instance; a lift removes the counts up to {@code liftedMs}. */
  private static final class RequestRecord {
    private final Map<String, InstanceCrashes> counts = new HashMap<>();
    private long liftedMs = Long.MIN_VALUE;
    private boolean liftedHere;

    int crashes() {
      Set<String> all = new HashSet<>();
      counts.values().forEach(count -> all.addAll(count.crashes()));
      return all.size();
    }

    long lastMs() {
      long last = liftedMs;
      for (InstanceCrashes count : counts.values()) {
        last = Math.max(last, count.lastMs());
      }
      return last;
    }
  }

  private final String localInstance;
  private final InstantSource clock;
  private final Map<Fingerprint, RequestRecord> records = new HashMap<>();
  private final Map<EndpointId, Map<Fingerprint, Integer>> suspectsInFlight = new HashMap<>();

  /** Creates an empty registry for the instance {@code localInstance}. */
  public CrashRegistry(String localInstance, InstantSource clock) {
    this.localInstance = localInstance;
    this.clock = clock;
  }

  /** Returns a request's or segment's crash count over the whole fleet. */
  public synchronized int crashes(Fingerprint fingerprint) {
    RequestRecord record = records.get(fingerprint);
    return record == null || isExpired(record) ? 0 : record.crashes();
  }

  /**
   * Records that an endpoint crashed while a request was in flight there.
   *
   * @param incarnation the crashed incarnation of the endpoint, as all instances name it
   */
  public synchronized void recordCrash(Fingerprint fingerprint, String incarnation) {
    removeExpired();
    RequestRecord record = records.computeIfAbsent(fingerprint, ignored -> new RequestRecord());
    Set<String> own = new HashSet<>(Set.of(incarnation));
    InstanceCrashes known = record.counts.get(localInstance);
    if (known != null) {
      own.addAll(known.crashes());
    }
    record.counts.put(localInstance, new InstanceCrashes(own, clock.millis()));
    LOG.warnf(
        "Endpoint crashed with request in flight. endpoint=%s fingerprint=%s crashes=%d",
        incarnation, fingerprint, record.crashes());
  }

  /** Lifts a request's crash count; returns whether it had one. */
  public synchronized boolean lift(Fingerprint fingerprint) {
    RequestRecord record = records.get(fingerprint);
    if (record == null || record.counts.isEmpty()) {
      return false;
    }
    record.counts.clear();
    record.liftedMs = clock.millis();
    record.liftedHere = true;
    LOG.infof("Crash count lifted. fingerprint=%s", fingerprint);
    return true;
  }

  /** Merges a count received from another instance. */
  public synchronized void merge(String instance, CrashCount received) {
    long atMs = clock.millis() - received.ageMs();
    RequestRecord record =
        records.computeIfAbsent(received.fingerprint(), ignored -> new RequestRecord());
    if (received.lifted()) {
      if (atMs > record.liftedMs) {
        record.liftedMs = atMs;
        record.liftedHere = false;
      }
      record.counts.values().removeIf(count -> count.lastMs() <= atMs);
    } else if (atMs > record.liftedMs) {
      record.counts.put(instance, new InstanceCrashes(received.crashes(), atMs));
    }
  }

  /** Returns the counts that this instance sends to the others; of too many, the highest. */
  public synchronized List<CrashCount> localCounts() {
    removeExpired();
    long now = clock.millis();
    List<CrashCount> localCounts = new ArrayList<>();
    records.forEach(
        (fingerprint, record) -> {
          InstanceCrashes own = record.counts.get(localInstance);
          if (own != null) {
            localCounts.add(new CrashCount(fingerprint, own.crashes(), now - own.lastMs(), false));
          } else if (record.liftedHere && now - record.liftedMs < LIFT_ANNOUNCEMENT_MS) {
            localCounts.add(new CrashCount(fingerprint, Set.of(), now - record.liftedMs, true));
          }
        });
    if (localCounts.size() <= MAXIMUM_SENT_COUNTS) {
      return localCounts;
    }
    localCounts.sort(Comparator.comparingInt(count -> -count.crashes().size()));
    return localCounts.subList(0, MAXIMUM_SENT_COUNTS);
  }

  /** Returns all requests with a crash count, suspected or blocked, with their counts. */
  public synchronized Map<String, Integer> suspects() {
    removeExpired();
    Map<String, Integer> suspects = new TreeMap<>();
    records.forEach(
        (fingerprint, record) -> {
          if (record.crashes() > 0) {
            suspects.put(fingerprint.value(), record.crashes());
          }
        });
    return suspects;
  }

  /** Records that a suspect is sent to an endpoint. */
  public synchronized void suspectSent(Fingerprint fingerprint, EndpointId endpoint) {
    suspectsInFlight
        .computeIfAbsent(endpoint, ignored -> new HashMap<>())
        .merge(fingerprint, 1, Integer::sum);
  }

  /** Records that a suspect is no longer in flight at an endpoint. */
  public synchronized void suspectEnded(Fingerprint fingerprint, EndpointId endpoint) {
    Map<Fingerprint, Integer> atEndpoint = suspectsInFlight.getOrDefault(endpoint, new HashMap<>());
    atEndpoint.computeIfPresent(fingerprint, (key, count) -> count == 1 ? null : count - 1);
    if (atEndpoint.isEmpty()) {
      suspectsInFlight.remove(endpoint);
    }
  }

  /** Returns the endpoints with a suspect in flight, which must not be sent another one. */
  public synchronized Set<EndpointId> endpointsWithSuspects() {
    return new HashSet<>(suspectsInFlight.keySet());
  }

  private void removeExpired() {
    records.values().removeIf(this::isExpired);
  }

  private boolean isExpired(RequestRecord record) {
    return record.lastMs() < clock.millis() - EXPIRY_MS;
  }
}
