package org.magnoliavale.internal.link;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliavale.internal.identifier.IdentifierRules;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.ModelDemand;

/** The live peers of this instance, each with its latest heartbeat. Thread-safe. */
public final class Membership {
  private record Peer(Heartbeat heartbeat, long receivedNanos) {}

  /** Time after which a silent peer no longer counts; relayed heartbeats may be seconds apart. */
  private static final Duration RELAYED_EXPIRY = Duration.ofSeconds(5);

  private final long expiryNanos;
  private final Map<String, Peer> peers = new TreeMap<>();

  /** Returns a membership that removes an instance after {@code expiry} without a heartbeat. */
  public Membership(Duration expiry) {
    this.expiryNanos = expiry.toNanos();
  }

  /** Returns a membership of instances whose heartbeats may be relayed. */
  public static Membership ofRelayedHeartbeats() {
    return new Membership(RELAYED_EXPIRY);
  }

  /** Records a heartbeat; returns whether it is the first to say that the peer is leaving. */
  public synchronized boolean recordHeartbeat(String instance, Heartbeat heartbeat, long nowNanos) {
    Peer previous = peers.put(instance, new Peer(heartbeat, nowNanos));
    boolean wasLeaving = previous != null && previous.heartbeat().getLeaving();
    return heartbeat.getLeaving() && !wasLeaving;
  }

  /** Returns the number of live instances that are not leaving, including this one. */
  public synchronized int instanceCount(long nowNanos) {
    removeExpired(nowNanos);
    long remaining = peers.values().stream().filter(peer -> !peer.heartbeat().getLeaving()).count();
    return 1 + (int) remaining;
  }

  /** Returns the names of the other instances that live, also of those that are leaving. */
  public synchronized Set<String> peers(long nowNanos) {
    removeExpired(nowNanos);
    return Set.copyOf(peers.keySet());
  }

  /** Returns the total requests per second of the other live instances, by model. */
  public synchronized Map<ModelId, Double> demand(long nowNanos) {
    removeExpired(nowNanos);
    Map<ModelId, Double> demand = new HashMap<>();
    for (Peer peer : peers.values()) {
      for (ModelDemand model : peer.heartbeat().getDemandList()) {
        if (IdentifierRules.isValid(model.getModel())) {
          demand.merge(
              new ModelId(model.getModel()), (double) model.getRequestsPerSecond(), Double::sum);
        }
      }
    }
    return demand;
  }

  private void removeExpired(long nowNanos) {
    peers.values().removeIf(peer -> nowNanos - peer.receivedNanos() > expiryNanos);
  }
}
