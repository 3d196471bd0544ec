package org.magnoliavale.internal.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.collection.BoundedMap;
import org.magnoliavale.internal.logging.Logs;

/**
 * Remembers which endpoints drain or have left the directory, as seen by this instance or told by a
 * peer, so that one instance's knowledge serves the whole fleet. Thread-safe.
 *
 * <p>An instance that was cut off from the platform's store can't tell on its own whether an entry
 * was removed or expired in an outage of the store; peers that could read the directory all the
 * while can. An endpoint is back with an entry that is newer than the removed one. Draining is
 * final: whatever entry follows, the incarnation gets no more requests.
 *
 * <p>An incarnation without a start time is forgotten when its entry is removed, because the next
 * one could not be told apart. Times are in nanoseconds of a monotonic clock.
 */
public final class EndpointDepartures {
  /** Stands for the last heartbeat of an endpoint that drains: any entry is out of date. */
  public static final long DRAINING = Long.MAX_VALUE;

  private static final Logger LOG = Logs.of("directory");
  private static final int MAXIMUM_REMEMBERED = 1_024;

  /** Time for which peers are told, so that one that was cut off meanwhile hears of it, too. */
  private static final long ANNOUNCEMENT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * An endpoint that drains or has left.
   *
   * @param endpoint the incarnation
   * @param lastHeartbeat heartbeat of its last known entry, or {@link #DRAINING}; entries up to
   *     that heartbeat are out of date
   */
  public record Departure(EndpointIdentity endpoint, long lastHeartbeat) {}

  private record Known(long lastHeartbeat, boolean seenHere, long nanos) {}

  private final BoundedMap<EndpointIdentity, Known> departures =
      BoundedMap.evictingLeastRecentlyUsed(MAXIMUM_REMEMBERED);
  private final ReadContinuity continuity = new ReadContinuity();
  private boolean unannounced;

  /** Returns for how long this instance and its peers have read the directory. */
  public ReadContinuity continuity() {
    return continuity;
  }

  /** Records that this instance has seen an entry that says that its endpoint drains. */
  public void observeDraining(DirectoryEntry entry, long nowNanos) {
    observeLeaving(entry.identity(), nowNanos);
  }

  /** Records that an endpoint itself has said to this instance that it leaves. */
  public void observeLeaving(EndpointIdentity endpoint, long nowNanos) {
    record(new Departure(endpoint, DRAINING), true, nowNanos);
  }

  /** Records that this instance has seen an entry disappear from the directory. */
  public synchronized void observeRemoval(DirectoryEntry entry, long nowNanos) {
    if (isIdentified(entry.identity())) {
      record(new Departure(entry.identity(), entry.heartbeat()), true, nowNanos);
    } else {
      departures.remove(entry.identity());
    }
  }

  /** Records a departure that a peer has seen. */
  public void learn(Departure departure, long nowNanos) {
    if (isIdentified(departure.endpoint()) || departure.lastHeartbeat() == DRAINING) {
      record(departure, false, nowNanos);
    }
  }

  private static boolean isIdentified(EndpointIdentity endpoint) {
    return endpoint.startedAtMs() != 0;
  }

  private synchronized void record(Departure departure, boolean seenHere, long nowNanos) {
    EndpointIdentity endpoint = departure.endpoint();
    Known known = departures.get(endpoint);
    if (known != null && known.lastHeartbeat() >= departure.lastHeartbeat()) {
      return;
    }
    LOG.infof(
        "Endpoint leaves. endpoint=%s draining=%s last-heartbeat=%d seen-here=%s",
        endpoint, departure.lastHeartbeat() == DRAINING, departure.lastHeartbeat(), seenHere);
    departures.put(endpoint, new Known(departure.lastHeartbeat(), seenHere, nowNanos));
    unannounced |= seenHere;
  }

  /** Returns whether an endpoint drains, or has left and {@code entry} is from before that. */
  public synchronized boolean includes(DirectoryEntry entry) {
    Known known = departures.get(entry.identity());
    return known != null && entry.heartbeat() <= known.lastHeartbeat();
  }

  /** Returns whether this instance has seen a departure since the last call. */
  public synchronized boolean takeNews() {
    boolean news = unannounced;
    unannounced = false;
    return news;
  }

  /** Returns the recent departures that this instance was the first to see, to be told to peers. */
  public synchronized List<Departure> announcements(long nowNanos) {
    List<Departure> announcements = new ArrayList<>();
    departures.forEach(
        (endpoint, known) -> {
          if (known.seenHere() && nowNanos - known.nanos() < ANNOUNCEMENT_NANOS) {
            announcements.add(new Departure(endpoint, known.lastHeartbeat()));
          }
        });
    return announcements;
  }
}
