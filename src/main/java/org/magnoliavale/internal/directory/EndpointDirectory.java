package org.magnoliavale.internal.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;

/**
 * Merges successive reads of the list of endpoints. Not thread-safe.
 *
 * <p>An entry from before its endpoint's departure counts as absent, whenever it is read. An entry
 * that disappears is removed at once, unless it may have expired while the list could not be read:
 * entries expire while the platform's store is unavailable, and endpoints rewrite them soon after
 * it has recovered. Such an entry is kept for a short time; one that has been seen since the
 * recovery, or that a peer has seen leaving, is not. None is kept if a peer has read the list for
 * that time already, because it was only this instance that could not.
 */
public final class EndpointDirectory {
  private static final Logger LOG = Logs.of("directory");

  /** Time that endpoints have to renew their entries after the store has recovered. */
  static final long RENEWAL_GRACE_MS = 2_200;

  /**
   * Time without a read from which on peers are believed; one that could not read either has
   * noticed it by then.
   */
  private static final long MINIMUM_GAP_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final EndpointDepartures departures;
  private final Map<String, DirectoryEntry> entries = new HashMap<>();

  /** Ids of the entries that have not been seen since the store recovered. */
  private final Set<String> awaited = new HashSet<>();

  private boolean storeUnavailable;
  private long lastReadNanos;

  /** Time between the last two reads with a failed one between them. */
  private long gapNanos;

  private long graceEndMs;

  /** Returns an empty directory that records removed entries in {@code departures}. */
  public EndpointDirectory(EndpointDepartures departures) {
    this.departures = departures;
  }

  /** Records that the list could not be read. */
  public void markUnavailable() {
    storeUnavailable = true;
    departures.continuity().recordFailure();
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
      gapNanos = nowNanos - lastReadNanos;
      departures.continuity().forgetPeers();
      awaited.addAll(entries.keySet());
    }
    lastReadNanos = nowNanos;
    departures.continuity().recordRead(nowNanos);
    Map<String, DirectoryEntry> current = currentEntries(listed, nowNanos);
    awaited.removeAll(current.keySet());
    if (graceRemainingMs(nowNanos) == 0 || isRenewalOver()) {
      stopWaiting();
    }
    Set<EndpointIdentity> stillListed =
        listed.stream().map(DirectoryEntry::identity).collect(Collectors.toSet());
    entries.values().removeIf(entry -> isRemoved(entry, current, stillListed, nowNanos));
    entries.putAll(current);
    return entries();
  }

  /**
   * Removes the entries that are kept if peers show by now that they are gone. For use between
   * reads.
   *
   * @return whether the entries in effect have changed
   */
  public boolean removeKept(long nowNanos) {
    if (awaited.isEmpty() || !isRenewalOver()) {
      return false;
    }
    List<DirectoryEntry> kept = new ArrayList<>(entries.values());
    kept.removeIf(entry -> !awaited.contains(entry.identity().id()));
    kept.forEach(entry -> departures.observeRemoval(entry, nowNanos));
    stopWaiting();
    return entries.values().removeAll(kept);
  }

  private void stopWaiting() {
    if (!awaited.isEmpty()) {
      LOG.infof(
          "Missing endpoints count as gone. count=%d gap-ms=%d peer-has-read=%s",
          awaited.size(), TimeUnit.NANOSECONDS.toMillis(gapNanos), isRenewalOver());
      awaited.clear();
    }
  }

  /** Returns the entries in effect. */
  public Collection<DirectoryEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns whether peers say that the time to renew entries was over at the last read. */
  private boolean isRenewalOver() {
    long renewalNanos = TimeUnit.MILLISECONDS.toNanos(RENEWAL_GRACE_MS);
    return gapNanos >= MINIMUM_GAP_NANOS
        && departures.continuity().peerHasReadSince(lastReadNanos - renewalNanos);
  }

  /** Maps the entries that are not out of date by endpoint id. */
  private Map<String, DirectoryEntry> currentEntries(List<DirectoryEntry> listed, long nowNanos) {
    Map<String, DirectoryEntry> current = new HashMap<>();
    for (DirectoryEntry entry : listed) {
      if (entry.draining()) {
        departures.observeDraining(entry, nowNanos);
      }
      if (entry.draining() || !departures.includes(entry)) {
        current.put(entry.identity().id(), newest(entry));
      }
    }
    return current;
  }

  /**
   * Returns the entry, or the one in effect if that is newer: the list may come back from a copy,
   * and says then what was so seconds ago.
   */
  private DirectoryEntry newest(DirectoryEntry entry) {
    DirectoryEntry known = entries.get(entry.identity().id());
    boolean older =
        known != null
            && known.identity().equals(entry.identity())
            && entry.identity().startedAtMs() != 0
            && entry.heartbeat() < known.heartbeat();
    return older ? known : entry;
  }

  private boolean isRemoved(
      DirectoryEntry entry,
      Map<String, DirectoryEntry> current,
      Set<EndpointIdentity> stillListed,
      long nowNanos) {
    String id = entry.identity().id();
    if (current.containsKey(id)) {
      return false;
    }
    if (awaited.contains(id) && !departures.includes(entry)) {
      return false;
    }
    if (!stillListed.contains(entry.identity())) {
      departures.observeRemoval(entry, nowNanos);
    }
    return true;
  }

  /** Returns the time until entries that are still missing count as removed; 0 if none are kept. */
  public long graceRemainingMs(long nowNanos) {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
    return awaited.isEmpty() ? 0 : Math.max(0, graceEndMs - nowMs);
  }
}
