package org.magnoliavale.internal.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.magnoliavale.internal.link.protocol.DepartedEndpoint;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RelayedHeartbeat;
import org.magnoliavale.internal.link.protocol.RevokedKey;
import org.magnoliavale.internal.link.protocol.TenantUse;

/**
 * The newest heartbeat of each instance, and which of them are still to be sent on each link. Does
 * no I/O and reads no clock; not thread-safe.
 *
 * <p>A heartbeat that matters at once (of a lease holder or a leaving instance, with crash records,
 * with urgent uses of tenants, or with endpoints that have left, callers' keys that were taken away
 * or a newer configuration since the last one) is passed on as soon as possible; any other one is
 * passed on now and then, so that the receiver knows that its sender lives. A heartbeat's age
 * travels with it, and no instance passes on one that has expired, so a failed instance disappears
 * everywhere.
 *
 * <p>Loads of endpoints are passed on in the relay's own heartbeat, which has the newest of all
 * that it knows, and so in each interval; the heartbeats of others are passed on without them.
 */
final class HeartbeatRelay {
  /** Age at which a heartbeat is dropped. */
  static final long EXPIRY_MS = 4_000;

  /** Time after which a newer heartbeat that does not matter at once is sent on the same link. */
  static final long REFRESH_INTERVAL_MS = 2_000;

  /** What one link has received so far. */
  static final class Progress {
    private final Map<String, Sent> sent = new HashMap<>();
  }

  /**
   * What the other end of a link is sent.
   *
   * @param peer name of the other end
   * @param demand whether it needs every heartbeat with the sender's demand
   * @param origins the instances whose heartbeats it needs
   */
  record Receiver(String peer, boolean demand, Predicate<String> origins) {}

  /** The newest heartbeat of an instance; what is passed on of it is built when it first is. */
  private static final class Known {
    private final Heartbeat heartbeat;
    private final String receivedFrom;
    private final long originNanos;
    private final boolean own;
    private Heartbeat withDemand;
    private Heartbeat withoutDemand;

    private Known(Heartbeat heartbeat, String receivedFrom, long originNanos, boolean own) {
      this.heartbeat = heartbeat;
      this.receivedFrom = receivedFrom;
      this.originNanos = originNanos;
      this.own = own;
    }

    private Heartbeat passedOn(boolean demand) {
      if (withDemand == null) {
        withDemand = own ? heartbeat : LoadRows.without(heartbeat);
      }
      if (!demand && withoutDemand == null) {
        withoutDemand =
            withDemand.getUsesCount() == 0
                ? withDemand
                : withDemand.toBuilder().clearUses().build();
      }
      return demand ? withDemand : withoutDemand;
    }
  }

  private record Sent(
      long startedMs,
      long number,
      List<DepartedEndpoint> departed,
      List<RevokedKey> revokedKeys,
      long configurationVersion,
      long nanos) {}

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

  /** Returns whether a heartbeat must not wait for the next interval. */
  static boolean mattersAtOnce(Heartbeat heartbeat) {
    return heartbeat.getGivesOrders()
        || heartbeat.getLeaving()
        || heartbeat.getCrashesCount() > 0
        || heartbeat.getChangesCount() > 0
        || heartbeat.getTenantUsesList().stream().anyMatch(TenantUse::getUrgent);
  }

  /** Returns the configuration's version that an instance stated last; 0 if it is not known. */
  long configurationVersion(String origin) {
    Known known = newest.get(origin);
    return known == null ? 0 : known.heartbeat.getConfigurationVersion();
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
            pending.add(toRelayed(origin, known, receiver.demand(), nowNanos));
            progress.sent.put(
                origin,
                new Sent(
                    known.heartbeat.getStartedMs(),
                    known.heartbeat.getNumber(),
                    known.heartbeat.getDepartedEndpointsList(),
                    known.heartbeat.getRevokedKeysList(),
                    known.heartbeat.getConfigurationVersion(),
                    nowNanos));
          }
        });
    return pending;
  }

  private boolean isDue(String origin, Known known, Receiver receiver, Sent sent, long nowNanos) {
    Heartbeat heartbeat = known.heartbeat;
    if (sent == null) {
      return true;
    }
    boolean unchanged =
        sent.number() == heartbeat.getNumber() && sent.startedMs() == heartbeat.getStartedMs();
    if (unchanged) {
      return false;
    }
    return receiver.demand()
        || mattersAtOnce(heartbeat)
        || origin.equals(self) && heartbeat.getLoadEndpointsCount() > 0
        || !sent.departed().containsAll(heartbeat.getDepartedEndpointsList())
        || !sent.revokedKeys().containsAll(heartbeat.getRevokedKeysList())
        || heartbeat.getConfigurationVersion() > sent.configurationVersion()
        || TimeUnit.NANOSECONDS.toMillis(nowNanos - sent.nanos()) >= REFRESH_INTERVAL_MS;
  }

  private static RelayedHeartbeat toRelayed(
      String origin, Known known, boolean demand, long nowNanos) {
    return RelayedHeartbeat.newBuilder()
        .setInstance(origin)
        .setAgeMs((int) ageMs(known, nowNanos))
        .setHeartbeat(known.passedOn(demand))
        .build();
  }

  private static long ageMs(Known known, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - known.originNanos);
  }
}
