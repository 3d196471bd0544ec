package org.magnoliavale.internal.link;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliavale.internal.identifier.IdentifierRules;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.ModelDemand;

/** The live peers of this instance, each with its latest heartbeat. Thread-safe. */
public final class Membership {
  private record Peer(Heartbeat heartbeat, long heardNanos) {}

  private final long patienceNanos;
  private final Map<String, Peer> peers = new TreeMap<>();

  /** Returns a membership that removes an instance after {@code patience} without a heartbeat. */
  public Membership(Duration patience) {
    this.patienceNanos = patience.toNanos();
  }

  /** Records a heartbeat; returns whether it is the first to say that the peer is leaving. */
  public synchronized boolean heard(String instance, Heartbeat heartbeat, long nowNanos) {
    Peer before = peers.put(instance, new Peer(heartbeat, nowNanos));
    boolean wasLeaving = before != null && before.heartbeat().getLeaving();
    return heartbeat.getLeaving() && !wasLeaving;
  }

  /** Returns the number of live instances that are not leaving, including this one. */
  public synchronized int instances(long nowNanos) {
    forgetSilent(nowNanos);
    long staying = peers.values().stream().filter(peer -> !peer.heartbeat().getLeaving()).count();
    return 1 + (int) staying;
  }

  /** Returns the total requests per second of the other live instances, by model. */
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
