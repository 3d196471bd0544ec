package org.magnoliavale.internal.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Merges successive reads of the list of endpoints. Not thread-safe.
 *
 * <p>An entry from before its endpoint's departure counts as absent, whenever it is read. An entry
 * that disappears is removed at once, unless it may have expired while the list could not be read:
 * entries expire while the platform's store is unavailable, and endpoints rewrite them soon after
 * it has recovered. Such an entry is kept for a short time; one that has been seen since the
 * recovery, or that a peer has seen leaving, is not.
 */
public final class EndpointDirectory {
  /** Time that endpoints have to renew their entries after the store has recovered. */
  static final long RENEWAL_GRACE_MS = 2_200;

  private final EndpointDepartures departures;
  private final Map<String, DirectoryEntry> entries = new HashMap<>();

  /** Ids of the entries that have not been seen since the store recovered. */
  private final Set<String> awaited = new HashSet<>();

  private boolean storeUnavailable;
  private long graceEndMs;

  /** Returns an empty directory that records removed entries in {@code departures}. */
  public EndpointDirectory(EndpointDepartures departures) {
    this.departures = departures;
  }

  /** Records that the list could not be read. */
  public void markUnavailable() {
    storeUnavailable = true;
  }

  /**
   * Applies a successful read of the list.
   *
   * @param nowNanos when the list was read, on a monotonic clock
   * @return the entries now in effect
   */
  public Collection<DirectoryEntry> update(List<DirectoryEntry> listed, long nowNanos) {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
    if (storeUnavailable) {
      storeUnavailable = false;
      graceEndMs = nowMs + RENEWAL_GRACE_MS;
      awaited.addAll(entries.keySet());
    }
    Map<String, DirectoryEntry> current = currentEntries(listed, nowNanos);
    awaited.removeAll(current.keySet());
    if (graceRemainingMs(nowNanos) == 0) {
      awaited.clear();
    }
    entries.values().removeIf(entry -> isRemoved(entry, current, nowNanos));
    entries.putAll(current);
    return List.copyOf(entries.values());
  }

  /** Maps the entries that are not out of date by endpoint id. */
  private Map<String, DirectoryEntry> currentEntries(List<DirectoryEntry> listed, long nowNanos) {
    Map<String, DirectoryEntry> current = new HashMap<>();
    for (DirectoryEntry entry : listed) {
      if (entry.draining()) {
        departures.observeDraining(entry, nowNanos);
      }
      if (entry.draining() || !departures.includes(entry)) {
        current.put(entry.identity().id(), entry);
      }
    }
    return current;
  }

  private boolean isRemoved(
      DirectoryEntry entry, Map<String, DirectoryEntry> current, long nowNanos) {
    String id = entry.identity().id();
    if (current.containsKey(id)) {
      return false;
    }
    if (awaited.contains(id) && !departures.includes(entry)) {
      return false;
    }
    departures.observeRemoval(entry, nowNanos);
    return true;
  }

  /** Returns the time until entries that are still missing count as removed; 0 if none are kept. */
  public long graceRemainingMs(long nowNanos) {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
    return awaited.isEmpty() ? 0 : Math.max(0, graceEndMs - nowMs);
  }
}
