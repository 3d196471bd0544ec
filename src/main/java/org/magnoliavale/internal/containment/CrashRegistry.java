package org.magnoliavale.internal.containment;

import java.time.InstantSource;
import java.util.ArrayList;
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
 * Counts, over the whole fleet, in how many endpoint crashes each request was in flight.
 *
 * <p>Each instance counts the crashes that it sees itself and tells the others; the fleet's count
 * is the sum. A request that is answered whole is harmless and its count is lifted, so requests
 * that only shared an endpoint with a culprit are not stopped. While a request is suspected it is
 * sent only where no other suspect is in flight, so that the next crash tells them apart.
 */
public final class CrashRegistry {
  /** Crashes after which a request is stopped. */
  public static final int CRASH_LIMIT = 3;

  /** Time after which a count expires, in milliseconds. */
  public static final long EXPIRY_MS = 600_000;

  private static final Logger LOG = Logs.of("containment");
  private static final int MAXIMUM_NOTES = 256;

  private record Count(int crashes, long lastMs) {}

  /** What is known of one request: counts by instance, and until when counts are void. */
  private static final class Record {
    private final Map<String, Count> counts = new HashMap<>();
    private long liftedMs = Long.MIN_VALUE;

    int crashes() {
      return counts.values().stream().mapToInt(Count::crashes).sum();
    }

    long lastMs() {
      long last = liftedMs;
      for (Count count : counts.values()) {
        last = Math.max(last, count.lastMs());
      }
      return last;
    }
  }

  private final String self;
  private final InstantSource clock;
  private final Map<Fingerprint, Record> records = new HashMap<>();
  private final Map<EndpointId, Map<Fingerprint, Integer>> suspectsInFlight = new HashMap<>();

  /** Returns an empty registry of the instance {@code self}. */
  public CrashRegistry(String self, InstantSource clock) {
    this.self = self;
    this.clock = clock;
  }

  /** Returns the crashes counted for a request over the whole fleet. */
  public synchronized int crashes(Fingerprint fingerprint) {
    forgetExpired();
    Record record = records.get(fingerprint);
    return record == null ? 0 : record.crashes();
  }

  /** Notes that an endpoint crashed while a request was in flight there. */
  public synchronized void crashed(Fingerprint fingerprint, EndpointId endpoint) {
    Record record = records.computeIfAbsent(fingerprint, ignored -> new Record());
    Count own = record.counts.getOrDefault(self, new Count(0, 0));
    record.counts.put(self, new Count(own.crashes() + 1, clock.millis()));
    LOG.warnf(
        "Endpoint crashed with request in flight. endpoint=%s fingerprint=%s crashes=%d",
        endpoint, fingerprint, record.crashes());
  }

  /** Lifts a request's count; tells whether it had one. */
  public synchronized boolean lift(Fingerprint fingerprint) {
    Record record = records.get(fingerprint);
    if (record == null || record.counts.isEmpty()) {
      return false;
    }
    record.counts.clear();
    record.liftedMs = clock.millis();
    LOG.infof("Request lifted. fingerprint=%s", fingerprint);
    return true;
  }

  /** Takes in what another instance tells. */
  public synchronized void merge(String instance, CrashNote note) {
    long atMs = clock.millis() - note.ageMs();
    Record record = records.computeIfAbsent(note.fingerprint(), ignored -> new Record());
    if (note.lifted()) {
      record.liftedMs = Math.max(record.liftedMs, atMs);
      record.counts.values().removeIf(count -> count.lastMs() <= atMs);
    } else if (atMs > record.liftedMs) {
      record.counts.put(instance, new Count(note.crashes(), atMs));
    }
  }

  /** Returns what this instance tells the others. */
  public synchronized List<CrashNote> notes() {
    forgetExpired();
    long now = clock.millis();
    List<CrashNote> notes = new ArrayList<>();
    records.forEach(
        (fingerprint, record) -> {
          Count own = record.counts.get(self);
          if (own != null) {
            notes.add(new CrashNote(fingerprint, own.crashes(), now - own.lastMs(), false));
          } else if (record.counts.isEmpty()) {
            notes.add(new CrashNote(fingerprint, 0, now - record.liftedMs, true));
          }
        });
    return notes.size() <= MAXIMUM_NOTES ? notes : notes.subList(0, MAXIMUM_NOTES);
  }

  /** Returns the requests that are suspected or stopped, with their counts. */
  public synchronized Map<String, Integer> suspects() {
    forgetExpired();
    Map<String, Integer> suspects = new TreeMap<>();
    records.forEach(
        (fingerprint, record) -> {
          if (record.crashes() > 0) {
            suspects.put(fingerprint.value(), record.crashes());
          }
        });
    return suspects;
  }

  /** Notes that a suspect is sent to an endpoint. */
  public synchronized void begin(Fingerprint fingerprint, EndpointId endpoint) {
    suspectsInFlight
        .computeIfAbsent(endpoint, ignored -> new HashMap<>())
        .merge(fingerprint, 1, Integer::sum);
  }

  /** Notes that a suspect has left an endpoint. */
  public synchronized void end(Fingerprint fingerprint, EndpointId endpoint) {
    Map<Fingerprint, Integer> there = suspectsInFlight.getOrDefault(endpoint, new HashMap<>());
    there.computeIfPresent(fingerprint, (key, count) -> count == 1 ? null : count - 1);
    if (there.isEmpty()) {
      suspectsInFlight.remove(endpoint);
    }
  }

  /** Returns the endpoints to which no further suspect is to be sent now. */
  public synchronized Set<EndpointId> endpointsWithSuspects() {
    return new HashSet<>(suspectsInFlight.keySet());
  }

  private void forgetExpired() {
    long oldest = clock.millis() - EXPIRY_MS;
    records.values().removeIf(record -> record.lastMs() < oldest);
  }
}
