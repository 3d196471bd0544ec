package org.magnoliavale.internal.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.limit.FleetView;

/**
 * How well this instance and its peers know of each other: whom it hears, when it last heard each,
 * and until when they know what it has granted. Not thread-safe.
 */
final class FleetContact {
  /** Share of an instance that has not read the list of instances yet. */
  static final double UNLISTED_SHARE = 0.003;

  /** Time after which all peers have heard of what is told at once. */
  static final long URGENT_NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Time without a heartbeat, in times of ordinary news, after which a peer is out of touch. */
  private static final double LATE_NEWS = 1.5;

  /** Longest time until ordinary news is known without relays. */
  private static final long MESH_NEWS_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final long startNanos;
  private final long startMs;
  private final long windowMs;
  private final Set<String> knownUses = new HashSet<>();
  private final Map<String, Long> heardNanos = new HashMap<>();
  private FleetView view = new FleetView("", Set.of(), 0, false, 0);
  private boolean inTouch;
  private long toldNanos;
  private long knownToldNanos;

  /**
   * Returns contact to nobody yet.
   *
   * @param startMs wall clock at the start of this instance, in Unix milliseconds
   */
  FleetContact(Duration window, long startMs, long nowNanos) {
    windowMs = window.toMillis();
    this.startMs = startMs;
    startNanos = nowNanos;
    toldNanos = nowNanos;
    knownToldNanos = nowNanos;
  }

  void update(FleetView newView, long nowNanos) {
    view = newView;
    heardNanos.keySet().retainAll(view.peers());
    long lateNanos = (long) (LATE_NEWS * view.newsNanos());
    inTouch =
        view.listed()
            && view.silentInstances() == 0
            && heardNanos.size() == view.peers().size()
            && heardNanos.values().stream().allMatch(heard -> nowNanos - heard <= lateNanos);
  }

  /**
   * Records a heartbeat of a peer; returns when it sent the one before.
   *
   * @param peerStartMs wall clock at the start of the peer, in Unix milliseconds
   */
  long heard(String peer, long peerStartMs, long saidNanos) {
    // A peer that has not run for a window before this instance knows no more of that time.
    if (peerStartMs <= startMs - windowMs) {
      knownUses.add(peer);
    }
    Long last = heardNanos.put(peer, saidNanos);
    return last == null ? saidNanos : last;
  }

  /** Records that peers are told of all grants until now, and will know it soon. */
  void told(long nowNanos) {
    if (nowNanos - toldNanos >= URGENT_NEWS_NANOS) {
      knownToldNanos = toldNanos;
      toldNanos = nowNanos;
    }
  }

  /** Returns the time until which all peers know what this instance has granted. */
  long heardUntilNanos(long nowNanos) {
    long told = nowNanos - toldNanos >= URGENT_NEWS_NANOS ? toldNanos : knownToldNanos;
    long ordinary = nowNanos - view.newsNanos();
    return inTouch && told - ordinary > 0 ? told : ordinary;
  }

  /**
   * Returns the part of the last window's use of which this instance does not know since it was
   * granted before its start.
   */
  double unknownPart(QuotaBounds bounds, long nowNanos) {
    double runningSeconds = (nowNanos - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    double before = Math.clamp(1 - runningSeconds / bounds.windowSeconds(), 0, 1);
    return before * Math.max(0, view.size() - knownUses.size()) / view.size();
  }

  Set<String> peers() {
    return view.peers();
  }

  int size() {
    return view.size();
  }

  boolean isListed() {
    return view.listed();
  }

  /** Returns whether each heartbeat of a peer arrives, and not only some that relays pass on. */
  boolean isMesh() {
    return view.newsNanos() <= MESH_NEWS_NANOS;
  }

  /** Returns whether it hears all listed instances, each of them recently. */
  boolean isInTouch() {
    return inTouch;
  }

  /** Returns the part of the instances that it hears, including itself. */
  double heardPart() {
    return (double) (1 + view.peers().size()) / view.size();
  }

  /** Returns the time after which all peers have heard of what is told now. */
  long newsNanos(boolean atOnce) {
    return atOnce ? Math.min(URGENT_NEWS_NANOS, view.newsNanos()) : view.newsNanos();
  }
}
