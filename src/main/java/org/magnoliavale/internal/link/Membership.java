package org.magnoliavale.internal.link;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliavale.internal.identifier.IdentifierRules;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.ModelDemand;

/** The other instances that were heard of lately, and what they said. Thread-safe. */
public final class Membership {
  private record Peer(Heartbeat heartbeat, long heardNanos) {}

  private final long patienceNanos;
  private final Map<String, Peer> peers = new TreeMap<>();

  /** Returns a membership that forgets an instance after {@code patience} without a heartbeat. */
  public Membership(Duration patience) {
    this.patienceNanos = patience.toNanos();
  }

  /** Notes a heartbeat; tells whether the peer has just said that it is leaving. */
  public synchronized boolean heard(String instance, Heartbeat heartbeat, long nowNanos) {
    Peer before = peers.put(instance, new Peer(heartbeat, nowNanos));
    boolean wasLeaving = before != null && before.heartbeat().getLeaving();
    return heartbeat.getLeaving() && !wasLeaving;
  }

  /** Returns the live instances that are not leaving, this one included. */
  public synchronized int instances(long nowNanos) {
    forgetSilent(nowNanos);
    long staying = peers.values().stream().filter(peer -> !peer.heartbeat().getLeaving()).count();
    return 1 + (int) staying;
  }

  /** Returns the other live instances' requests a second by model, added up. */
  public synchronized Map<ModelId, Double> demand(long nowNanos) {
    forgetSilent(nowNanos);
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

  private void forgetSilent(long nowNanos) {
    peers.values().removeIf(peer -> nowNanos - peer.heardNanos() > patienceNanos);
  }
}
