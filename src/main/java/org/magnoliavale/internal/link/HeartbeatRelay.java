package org.magnoliavale.internal.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RelayedHeartbeat;
import org.magnoliavale.internal.link.protocol.TenantUse;

/**
 * The newest heartbeat of each instance, and which of them are still to be sent on each link. Does
 * no I/O and reads no clock; not thread-safe.
 *
 * <p>A heartbeat that matters at once (of a leaving instance, with urgent uses of tenants, with
 * {@link HeartbeatNews} or a newer configuration since the last one) is passed on as soon as
 * possible; any other one is passed on now and then, so that the receiver knows that its sender
 * lives, and that of a lease holder more often. News is passed on once on a link, which neither
 * loses nor reorders what it carries. A heartbeat's age travels with it, and no instance passes on
 * one that has expired, so a failed instance disappears everywhere.
 *
 * <p>Loads of endpoints are passed on in the relay's own heartbeat, which has the newest of all
 * that it knows, and so in each interval; the heartbeats of others are passed on without them.
 */
final class HeartbeatRelay {
  /** Age at which a heartbeat is dropped. */
  static final long EXPIRY_MS = 4_000;

  /** Time after which a newer heartbeat that does not matter at once is sent on the same link. */
  static final long REFRESH_INTERVAL_MS = 2_000;

  /** The same for heartbeats of a lease holder, whose silence others notice soon. */
  static final long HOLDER_REFRESH_INTERVAL_MS = 400;

  /** What one link has received so far. */
  static final class Progress {
    private final Map<String, Sent> sent = new HashMap<>();
  }

  /**
   * What the other end of a link is sent.
   *
   * @param peer name of the other end
   * @param demand whether it needs every heartbeat with the sender's demand
   * @param relays whether it passes heartbeats on, and so needs them whole, with news that it has
   * @param reserve whether it gets news at once from another relay, and only needs to know from
   *     this one who lives
   * @param origins the instances whose heartbeats it needs
   */
  record Receiver(
      String peer, boolean demand, boolean relays, boolean reserve, Predicate<String> origins) {}

  /** The newest heartbeat of an instance; what is passed on of it is built when it first is. */
  private static final class Known {
    private final Heartbeat heartbeat;
    private final String receivedFrom;
    private final long originNanos;
    private final boolean own;
    private final Map<Boolean, PassedOn> passedOn = new HashMap<>();
    private Heartbeat comparedWith;
    private boolean mattersAtOnce;

    private Known(Heartbeat heartbeat, String receivedFrom, long originNanos, boolean own) {
      this.heartbeat = heartbeat;
      this.receivedFrom = receivedFrom;
      this.originNanos = originNanos;
      this.own = own;
    }

    /** Returns what is sent on a link; most links have been sent the same heartbeat before. */
    private Heartbeat passedOn(boolean demand, Heartbeat previous) {
      PassedOn last = passedOn.get(demand);
      if (last == null || last.previous() != previous) {
        last = new PassedOn(previous, build(demand, previous));
        passedOn.put(demand, last);
      }
      return last.heartbeat();
    }

    /** Returns whether it must not wait on a link that was sent another one before. */
    private boolean mattersAtOnceAfter(Heartbeat previous) {
      if (comparedWith != previous) {
        comparedWith = previous;
        mattersAtOnce = HeartbeatRelay.mattersAtOnce(heartbeat, previous);
      }
      return mattersAtOnce;
    }

    private Heartbeat build(boolean demand, Heartbeat previous) {
      Heartbeat.Builder builder = HeartbeatNews.since(previous, heartbeat).toBuilder();
      if (!own) {
        builder.clearLoadEndpoints().clearLoadValues();
      }
      return demand ? builder.build() : builder.clearUses().build();
    }
  }

  /** What is passed on of a heartbeat on a link on which another one was sent before. */
  private record PassedOn(Heartbeat previous, Heartbeat heartbeat) {}

  /** The last heartbeat of an instance that was sent on a link. */
  private record Sent(Heartbeat heartbeat, long nanos) {
    /**
     * Returns the heartbeat if it is of the same run of its sender as another one, or else none.
     */
    private Heartbeat ofSameRun(Heartbeat other) {
      return heartbeat.getStartedMs() == other.getStartedMs()
          ? heartbeat
          : Heartbeat.getDefaultInstance();
    }
  }

  private final String self;
  private final Map<String, Known> newest = new HashMap<>();

  HeartbeatRelay(String self) {
    this.self = self;
  }

  /**
   * Records a heartbeat; returns whether it is newer than the known one of its sender.
   *
   * @param origin the instance that sent the heartbeat first
   * @param receivedFrom the other end of the link on which it arrived
   * @param ageMs time since it reached the first relay; 0 if this instance is the first
   */
  boolean accept(
      String origin, Heartbeat heartbeat, String receivedFrom, long ageMs, long nowNanos) {
    if (origin.equals(self) || ageMs < 0 || ageMs > EXPIRY_MS) {
      return false;
    }
    Known known = newest.get(origin);
    boolean direct = origin.equals(receivedFrom);
    if (known != null && !direct && !isNewer(heartbeat, known, nowNanos)) {
      return false;
    }
    long originNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMs);
    newest.put(origin, new Known(heartbeat, receivedFrom, originNanos, false));
    return true;
  }

  private static boolean isNewer(Heartbeat heartbeat, Known known, long nowNanos) {
    Heartbeat previous = known.heartbeat;
    if (heartbeat.getStartedMs() == previous.getStartedMs()) {
      return heartbeat.getNumber() > previous.getNumber();
    }
    // After a restart the wall clock may be behind that of the previous run, which is silent.
    boolean previousSilent = ageMs(known, nowNanos) > REFRESH_INTERVAL_MS;
    return heartbeat.getStartedMs() > previous.getStartedMs() || previousSilent;
  }

  /** Records a heartbeat of this instance itself, for links on which it is not sent directly. */
  void recordOwn(Heartbeat heartbeat, long nowNanos) {
    newest.put(self, new Known(heartbeat, self, nowNanos, true));
  }

  /**
   * Returns whether a heartbeat must not wait for the next interval.
   *
   * @param previous the one that the receiver has; empty if it has none
   */
  static boolean mattersAtOnce(Heartbeat heartbeat, Heartbeat previous) {
    return heartbeat.getLeaving()
        || heartbeat.getReachesEndpoints() != previous.getReachesEndpoints()
        || isOfLeaseHolderAndDiffers(heartbeat, previous)
        || heartbeat.getConfigurationVersion() > previous.getConfigurationVersion()
        || heartbeat.getTenantUsesList().stream().anyMatch(TenantUse::getUrgent)
        || HeartbeatNews.isPresent(previous, heartbeat);
  }

  /** Returns whether what only the lease holder states, or one that was, has changed. */
  private static boolean isOfLeaseHolderAndDiffers(Heartbeat heartbeat, Heartbeat previous) {
    boolean reads = heartbeat.getDirectoryReadMs() > 0;
    boolean previouslyRead = previous.getDirectoryReadMs() > 0;
    return heartbeat.getGivesOrders() != previous.getGivesOrders()
        || heartbeat.getSurrenderedEpoch() > previous.getSurrenderedEpoch()
        || heartbeat.getGivesOrders()
            && (reads != previouslyRead
                || heartbeat.getPlainEndpointAppearances()
                    != previous.getPlainEndpointAppearances());
  }

  /** Returns the newest heartbeat of an instance; an empty one if none is known. */
  Heartbeat newest(String origin) {
    Known known = newest.get(origin);
    return known == null ? Heartbeat.getDefaultInstance() : known.heartbeat;
  }

  /** Returns whether the heartbeat of an instance arrived from that instance itself. */
  boolean isDirect(String origin) {
    Known known = newest.get(origin);
    return known != null && known.receivedFrom.equals(origin);
  }

  /** Returns the heartbeats to send on a link now, and records that they were sent. */
  List<RelayedHeartbeat> takePending(Receiver receiver, Progress progress, long nowNanos) {
    newest.values().removeIf(known -> ageMs(known, nowNanos) > EXPIRY_MS);
    progress.sent.keySet().retainAll(newest.keySet());
    List<RelayedHeartbeat> pending = new ArrayList<>();
    newest.forEach(
        (origin, known) -> {
          boolean echo =
              origin.equals(receiver.peer()) || known.receivedFrom.equals(receiver.peer());
          if (!echo
              && receiver.origins().test(origin)
              && isDue(origin, known, receiver, progress.sent.get(origin), nowNanos)) {
            Sent sent = progress.sent.put(origin, new Sent(known.heartbeat, nowNanos));
            Heartbeat previous =
                receiver.relays() ? Heartbeat.getDefaultInstance() : previous(sent, known);
            pending.add(toRelayed(origin, known, receiver.demand(), previous, nowNanos));
          }
        });
    return pending;
  }

  private static Heartbeat previous(Sent sent, Known known) {
    return sent == null ? Heartbeat.getDefaultInstance() : sent.ofSameRun(known.heartbeat);
  }

  private boolean isDue(String origin, Known known, Receiver receiver, Sent sent, long nowNanos) {
    Heartbeat heartbeat = known.heartbeat;
    if (sent == null) {
      return true;
    }
    Heartbeat previous = sent.ofSameRun(heartbeat);
    boolean unchanged =
        sent.heartbeat().getStartedMs() == heartbeat.getStartedMs()
            && sent.heartbeat().getNumber() == heartbeat.getNumber();
    if (unchanged) {
      return false;
    }
    boolean oftenDue = heartbeat.getGivesOrders() && !receiver.reserve();
    long refreshMs = oftenDue ? HOLDER_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS;
    if (TimeUnit.NANOSECONDS.toMillis(nowNanos - sent.nanos()) >= refreshMs) {
      return true;
    }
    return !receiver.reserve() && isWantedAtOnce(origin, known, receiver, previous);
  }

  private boolean isWantedAtOnce(
      String origin, Known known, Receiver receiver, Heartbeat previous) {
    return receiver.demand()
        || origin.equals(self) && known.heartbeat.getLoadEndpointsCount() > 0
        || known.mattersAtOnceAfter(previous);
  }

  private static RelayedHeartbeat toRelayed(
      String origin, Known known, boolean demand, Heartbeat previous, long nowNanos) {
    return RelayedHeartbeat.newBuilder()
        .setInstance(origin)
        .setAgeMs((int) ageMs(known, nowNanos))
        .setHeartbeat(known.passedOn(demand, previous))
        .build();
  }

  private static long ageMs(Known known, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - known.originNanos);
  }
}
