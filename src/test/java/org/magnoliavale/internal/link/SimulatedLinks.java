package org.magnoliavale.internal.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RelayedHeartbeat;
import org.magnoliavale.internal.platform.ListedInstance;

/**
 * Links of a fleet on a virtual clock: every instance sends its heartbeats each half second, and a
 * message arrives at once. Failed instances neither send nor receive, and their links are closed
 * after the silence timeout.
 */
final class SimulatedLinks {
  static final long INTERVAL_MS = 500;
  private static final long SILENCE_TIMEOUT_MS = 2_000;

  /** One instance, and what it has received. */
  final class Instance implements PeerState, PeerListener {
    private final ListedInstance entry;
    private final HeartbeatExchange exchange;
    private final Map<String, HeartbeatRelay.Progress> toTargets = new HashMap<>();
    private final Map<String, HeartbeatRelay.Progress> toFollowers = new HashMap<>();
    private final Map<String, Long> heardMs = new HashMap<>();
    private final Map<String, Heartbeat> heard = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private boolean failed;
    private boolean leaseHolder;
    private boolean urgent;
    private long configurationVersion;
    private int statedChanges;
    private long changes;
    private long receivedBytes;
    private long messages;
    private long bytes;

    private Instance(ListedInstance entry) {
      this.entry = entry;
      this.exchange =
          new HeartbeatExchange(entry.id(), this, this, () -> nanos(), 1, () -> urgent = true);
    }

    @Override
    public Heartbeat heartbeat() {
      Heartbeat.Builder heartbeat =
          Heartbeat.newBuilder()
              .setGivesOrders(leaseHolder)
              .setDirectoryReadMs(nowMs)
              .setConfigurationVersion(configurationVersion);
      heartbeat.addUsesBuilder().setArtifact("model-of-" + entry.id()).setRequestsPerSecond(1);
      addChanges(heartbeat);
      return heartbeat.build();
    }

    private void addChanges(Heartbeat.Builder heartbeat) {
      changes += statedChanges == 0 ? 0 : 1;
      for (long number = changes; number > changes - statedChanges && number > 0; number--) {
        heartbeat
            .addChangesBuilder()
            .setNumber(number)
            .setEndpoint("endpoint-of-a-change")
            .setArtifact("model/adapter")
            .setHeld(true);
      }
    }

    @Override
    public Heartbeat heartbeat(boolean relays) {
      Heartbeat.Builder heartbeat = heartbeat().toBuilder();
      int rows = relays ? relayedLoads : ownLoads;
      for (int endpoint = 0; endpoint < rows; endpoint++) {
        LoadRows.add(heartbeat, new LoadRows.Row(endpoint, 400, 12, 3, 16, 130));
      }
      return heartbeat.build();
    }

    @Override
    public DocumentText document() {
      return new DocumentText(0, List.of());
    }

    @Override
    public void heartbeatReceived(String instance, Heartbeat heartbeat) {
      heardMs.put(instance, nowMs);
      heard.put(instance, heartbeat);
    }

    @Override
    public void documentReceived(DocumentText document) {}

    String id() {
      return entry.id();
    }

    void fail() {
      failed = true;
    }

    void holdLease(boolean held) {
      leaseHolder = held;
    }

    void applyConfiguration(long version) {
      configurationVersion = version;
    }

    /** Returns the newest version of the configuration that any other instance applies. */
    long newestKnownConfiguration() {
      return heard.values().stream().mapToLong(Heartbeat::getConfigurationVersion).max().orElse(0);
    }

    /** Returns the instances that this one heard of within the last {@code windowMs}. */
    Set<String> heardWithin(long windowMs) {
      Set<String> recent = new HashSet<>();
      heardMs.forEach(
          (instance, atMs) -> {
            if (nowMs - atMs <= windowMs) {
              recent.add(instance);
            }
          });
      return recent;
    }

    /** Returns the instances whose demand this one knows. */
    Set<String> knownDemand() {
      Set<String> known = new HashSet<>();
      heard.forEach(
          (instance, heartbeat) -> {
            if (heartbeat.getUsesCount() > 0) {
              known.add(instance);
            }
          });
      return known;
    }

    /** Returns the number of loads in the newest heartbeats that this one knows. */
    int knownLoads() {
      return heard.values().stream().mapToInt(beat -> LoadRows.of(beat).size()).max().orElse(0);
    }

    /** Returns the instances that this one knows to be reading the directory. */
    Set<String> knownReaders() {
      Set<String> readers = new HashSet<>();
      heard.forEach(
          (instance, heartbeat) -> {
            if (heartbeat.getDirectoryReadMs() > 0) {
              readers.add(instance);
            }
          });
      return readers;
    }

    /** Lets each heartbeat state the last changes of residency, one of which is new. */
    void stateChanges(int count) {
      statedChanges = count;
    }

    long receivedBytes() {
      return receivedBytes;
    }

    long messages() {
      return messages;
    }

    long bytes() {
      return bytes;
    }

    boolean isRelay() {
      return topology().isRelay(id());
    }

    private LinkTopology topology() {
      return LinkTopology.of(id(), listed, id -> !unreachable.contains(id), exchange.isServing());
    }

    private void connect() {
      LinkTopology topology = topology();
      exchange.setTopology(topology);
      for (String target : Set.copyOf(toTargets.keySet())) {
        if (!topology.targets().contains(target)) {
          toTargets.remove(target);
          instances.get(target).disconnected(id());
        }
      }
      for (String target : topology.targets()) {
        Instance peer = instances.get(target);
        if (peer.failed) {
          if (nowMs - failedAtMs >= SILENCE_TIMEOUT_MS) {
            unreachable.add(target);
            toTargets.remove(target);
          }
        } else if (toTargets.putIfAbsent(target, new HeartbeatRelay.Progress()) == null) {
          peer.toFollowers.put(id(), new HeartbeatRelay.Progress());
          peer.exchange.followed(id());
        }
      }
    }

    private void disconnected(String follower) {
      toFollowers.remove(follower);
      exchange.unfollowed(follower);
    }

    private void sendHeartbeats() {
      Heartbeat heartbeat = exchange.nextHeartbeat();
      for (String target : toTargets.keySet()) {
        Instance peer = instances.get(target);
        if (!peer.failed) {
          count(peer, heartbeat.getSerializedSize());
          peer.exchange.received(id(), heartbeat);
          exchange.heardFrom(target);
        }
      }
      relay();
    }

    private void relay() {
      urgent = false;
      toTargets.forEach(
          (target, progress) -> deliver(target, exchange.takePendingForTarget(target, progress)));
      toFollowers.forEach(
          (follower, progress) ->
              deliver(follower, exchange.takePendingForFollower(follower, progress)));
    }

    private void deliver(String receiver, List<RelayedHeartbeat> heartbeats) {
      Instance peer = instances.get(receiver);
      if (!heartbeats.isEmpty() && !peer.failed) {
        count(peer, heartbeats.stream().mapToInt(RelayedHeartbeat::getSerializedSize).sum());
        peer.exchange.relayed(id(), heartbeats);
      }
    }

    private void count(Instance receiver, long size) {
      messages++;
      receiver.messages++;
      receiver.receivedBytes += size;
      bytes += size;
    }
  }

  private final List<ListedInstance> listed = new ArrayList<>();
  private final Map<String, Instance> instances = new HashMap<>();
  private int relayedLoads;
  private int ownLoads;
  private long nowMs = TimeUnit.HOURS.toMillis(1);
  private long failedAtMs;

  SimulatedLinks(int dataCentres, int perDataCentre) {
    for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
      for (int number = 0; number < perDataCentre; number++) {
        String id = "front-" + dataCentre + "-" + number;
        listed.add(new ListedInstance(id, "127.0.0.1:1", "live", "dc-" + dataCentre));
      }
    }
    listed.forEach(entry -> instances.put(entry.id(), new Instance(entry)));
  }

  /**
   * Lets heartbeats tell loads of endpoints.
   *
   * @param relayed loads that an instance that relays tells in each heartbeat
   * @param own loads that any other instance does
   */
  void tellLoads(int relayed, int own) {
    relayedLoads = relayed;
    ownLoads = own;
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  List<Instance> all() {
    return listed.stream().map(entry -> instances.get(entry.id())).toList();
  }

  List<Instance> alive() {
    return all().stream().filter(instance -> !instance.failed).toList();
  }

  void fail(List<Instance> failing) {
    failing.forEach(Instance::fail);
    failedAtMs = nowMs;
  }

  /** Lets time pass; every instance renews its links each second. */
  void run(long milliseconds) {
    long endMs = nowMs + milliseconds;
    while (nowMs < endMs) {
      if (nowMs % TimeUnit.SECONDS.toMillis(1) == 0) {
        alive().forEach(Instance::connect);
      }
      alive().forEach(Instance::sendHeartbeats);
      relayUntilQuiet();
      nowMs += INTERVAL_MS;
    }
  }

  /** Lets an instance send a heartbeat between two intervals; no time passes. */
  void announce(Instance instance) {
    instance.sendHeartbeats();
    relayUntilQuiet();
  }

  private void relayUntilQuiet() {
    List<Instance> urgent = alive().stream().filter(instance -> instance.urgent).toList();
    while (!urgent.isEmpty()) {
      urgent.forEach(Instance::relay);
      urgent = alive().stream().filter(instance -> instance.urgent).toList();
    }
  }
}
