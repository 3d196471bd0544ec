package org.magnoliavale.internal.link;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RelayedHeartbeat;
import org.magnoliavale.internal.logging.Logs;

/**
 * Numbers this instance's heartbeats, passes received ones to the listener, and decides what each
 * link is sent of other instances' heartbeats. Used by one thread.
 */
final class HeartbeatExchange {
  private static final Logger LOG = Logs.of("link");
  private static final long MAXIMUM_READ_STATE_AGE_MS = 1_000;

  /**
   * Time without anything from a relay after which another one is preferred; replies come sooner.
   */
  private static final long MAXIMUM_RELAY_SILENCE_MS = 1_000;

  private final String self;
  private final PeerState state;
  private final PeerListener listener;
  private final LongSupplier nanoClock;
  private final long startedMs;
  private final Runnable urgentListener;
  private final HeartbeatRelay relay;
  private final Set<String> followers = new HashSet<>();
  private final Map<String, Long> heardNanos = new HashMap<>();
  private LinkTopology topology = LinkTopology.empty();
  private String leaseHolder = "";
  private long lastNumber;

  /**
   * Creates an exchange.
   *
   * @param startedMs wall clock at the start of this instance, in Unix milliseconds
   * @param urgentListener runs when a heartbeat arrived that other instances need without delay
   */
  HeartbeatExchange(
      String self,
      PeerState state,
      PeerListener listener,
      LongSupplier nanoClock,
      long startedMs,
      Runnable urgentListener) {
    this.self = self;
    this.state = state;
    this.listener = listener;
    this.nanoClock = nanoClock;
    this.startedMs = startedMs;
    this.urgentListener = urgentListener;
    this.relay = new HeartbeatRelay(self);
  }

  /** Sets whom this instance connects to; returns whether that is a change. */
  boolean setTopology(LinkTopology newTopology) {
    boolean changed = !newTopology.targets().equals(topology.targets());
    topology = newTopology;
    return changed;
  }

  /** Returns this instance's next heartbeat, to be sent on all outgoing links. */
  Heartbeat nextHeartbeat() {
    Heartbeat heartbeat =
        state.heartbeat(isRelaying()).toBuilder()
            .setStartedMs(startedMs)
            .setPreferredRelay(preferredRelay().orElse(""))
            .setNumber(++lastNumber)
            .build();
    if (heartbeat.getGivesOrders()) {
      leaseHolder = self;
    }
    if (!topology.mesh()) {
      relay.recordOwn(heartbeat, nanoClock.getAsLong());
    }
    return heartbeat;
  }

  /**
   * Returns the relay from which this instance wants news: one that is heard, half of the instances
   * prefer each; empty if it relays itself, or none is heard.
   */
  Optional<String> preferredRelay() {
    if (topology.mesh() || isRelaying()) {
      return Optional.empty();
    }
    List<String> relays = topology.targets().stream().sorted().toList();
    int first = Math.floorMod(self.hashCode(), Math.max(1, relays.size()));
    return Stream.concat(relays.stream().skip(first), relays.stream().limit(first))
        .filter(this::isHeard)
        .findFirst();
  }

  private boolean isHeard(String relay) {
    Long heard = heardNanos.get(relay);
    return heard != null
        && TimeUnit.NANOSECONDS.toMillis(now() - heard) <= MAXIMUM_RELAY_SILENCE_MS;
  }

  /** Records that something has come on the link to an instance. */
  void heardFrom(String peer) {
    heardNanos.put(peer, now());
  }

  private boolean isRelaying() {
    return !topology.mesh() && (topology.isRelay(self) || isServing());
  }

  /** Applies a heartbeat that its sender sent on a link to this instance. */
  void received(String peer, Heartbeat heartbeat) {
    receive(peer, heartbeat, peer, 0);
  }

  /** Applies heartbeats that a peer passed on; one that can't be applied is ignored. */
  void relayed(String peer, List<RelayedHeartbeat> heartbeats) {
    heardFrom(peer);
    for (RelayedHeartbeat relayed : heartbeats) {
      try {
        receive(relayed.getInstance(), relayed.getHeartbeat(), peer, relayed.getAgeMs());
      } catch (RuntimeException e) {
        // The link is kept: it carries the heartbeats of many other instances.
        LOG.warnf(e, "Relayed heartbeat ignored. instance=%s", relayed.getInstance());
      }
    }
  }

  private void receive(String origin, Heartbeat heartbeat, String peer, long ageMs) {
    Heartbeat previous = relay.newest(origin);
    if (!relay.accept(origin, heartbeat, peer, ageMs, nanoClock.getAsLong())) {
      return;
    }
    if (heartbeat.getGivesOrders()) {
      leaseHolder = origin;
    } else if (origin.equals(leaseHolder)) {
      leaseHolder = "";
    }
    listener.heartbeatReceived(origin, aged(heartbeat, ageMs));
    boolean urgent = HeartbeatRelay.mattersAtOnce(heartbeat, previous) || isWaiting(heartbeat);
    if (urgent && !topology.mesh() && !followers.isEmpty()) {
      urgentListener.run();
    }
  }

  /**
   * Removes what an instance said of its last reads if it may have failed to read since, and adds
   * the heartbeat's age to that of what it said of limits, loads, tenants and the configuration.
   */
  private static Heartbeat aged(Heartbeat heartbeat, long ageMs) {
    if (ageMs == 0) {
      return heartbeat;
    }
    Heartbeat.Builder aged = heartbeat.toBuilder();
    if (ageMs > MAXIMUM_READ_STATE_AGE_MS) {
      aged.clearDirectoryReadMs();
    }
    aged.setConfigurationAgeMs(agedMs(heartbeat.getConfigurationAgeMs(), ageMs));
    aged.getTenantUsesBuilderList().forEach(use -> use.setAgeMs(agedMs(use.getAgeMs(), ageMs)));
    aged.getLimitsBuilderList().forEach(limit -> limit.setAgeMs(agedMs(limit.getAgeMs(), ageMs)));
    LoadRows.addAge(aged, ageMs);
    return aged.build();
  }

  /** An age that is too high stays so, and does not become negative. */
  private static long agedMs(long statedMs, long ageMs) {
    return statedMs > Long.MAX_VALUE - ageMs ? Long.MAX_VALUE : statedMs + ageMs;
  }

  private static boolean isWaiting(Heartbeat heartbeat) {
    return heartbeat.getUsesList().stream().anyMatch(use -> use.getWaiting() > 0);
  }

  /** Records that an instance connected to this one. */
  void followed(String peer) {
    followers.add(peer);
  }

  /** Records that the link from an instance was closed. */
  void unfollowed(String peer) {
    followers.remove(peer);
  }

  /** Returns whether instances that are not relays themselves use this one as their relay. */
  boolean isServing() {
    return followers.stream().anyMatch(peer -> !topology.isRelay(peer));
  }

  /** Returns the heartbeats to send on a link that {@code peer} opened. */
  List<RelayedHeartbeat> takePendingForFollower(String peer, HeartbeatRelay.Progress progress) {
    if (topology.mesh() || topology.targets().contains(peer)) {
      return List.of();
    }
    boolean demand = peer.equals(leaseHolder);
    return relay.takePending(
        new HeartbeatRelay.Receiver(
            peer, demand, topology.isRelay(peer), isReserveOf(peer), origin -> true),
        progress,
        now());
  }

  private boolean isReserveOf(String follower) {
    String preferred = relay.newest(follower).getPreferredRelay();
    return !preferred.isEmpty() && !preferred.equals(self);
  }

  /** Returns the heartbeats to send on a link that this instance opened. */
  List<RelayedHeartbeat> takePendingForTarget(String peer, HeartbeatRelay.Progress progress) {
    if (topology.mesh()) {
      return List.of();
    }
    return relay.takePending(
        new HeartbeatRelay.Receiver(peer, leadsToHolder(peer), true, false, this::isOwnFollower),
        progress,
        now());
  }

  private boolean isOwnFollower(String origin) {
    return followers.contains(origin) && !topology.isRelay(origin) && relay.isDirect(origin);
  }

  /** Returns whether a relay is the lease holder or in its data centre, and so needs the demand. */
  private boolean leadsToHolder(String target) {
    return target.equals(leaseHolder) || topology.isSameDataCentre(target, leaseHolder);
  }

  private long now() {
    return nanoClock.getAsLong();
  }
}
