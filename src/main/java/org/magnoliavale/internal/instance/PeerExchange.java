package org.magnoliavale.internal.instance;

import java.util.Map;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.document.ActiveDocument;
import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.link.CrashRecords;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerListener;
import org.magnoliavale.internal.link.PeerState;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.ModelDemand;

/**
 * Connects this instance's state to its links: builds heartbeats from the document version, demand,
 * crash counts and leaving state, and applies what peers send. Thread-safe.
 */
final class PeerExchange implements PeerState, PeerListener {
  /** Maximum number of models in a heartbeat; those with the highest demand are sent. */
  private static final int MAXIMUM_MODELS = 64;

  private final ActiveDocument activeDocument;
  private final Membership membership;
  private final CrashRegistry crashes;
  private final Runnable onPeerLeaving;
  private volatile Map<ModelId, Double> demand = Map.of();
  private volatile boolean leaving;

  PeerExchange(
      ActiveDocument activeDocument,
      Membership membership,
      CrashRegistry crashes,
      Runnable onPeerLeaving) {
    this.activeDocument = activeDocument;
    this.membership = membership;
    this.crashes = crashes;
    this.onPeerLeaving = onPeerLeaving;
  }

  void setDemand(Map<ModelId, Double> requestsPerSecond) {
    demand = Map.copyOf(requestsPerSecond);
  }

  void setLeaving() {
    leaving = true;
  }

  @Override
  public Heartbeat heartbeat() {
    Heartbeat.Builder heartbeat =
        Heartbeat.newBuilder().setDocumentVersion(activeDocument.version()).setLeaving(leaving);
    demand.entrySet().stream()
        .sorted(Map.Entry.<ModelId, Double>comparingByValue().reversed())
        .limit(MAXIMUM_MODELS)
        .forEach(
            entry ->
                heartbeat.addDemand(
                    ModelDemand.newBuilder()
                        .setModel(entry.getKey().value())
                        .setRequestsPerSecond(entry.getValue().floatValue())));
    crashes.localCounts().forEach(count -> heartbeat.addCrashes(CrashRecords.of(count)));
    return heartbeat.build();
  }

  @Override
  public DocumentText document() {
    return activeDocument.text();
  }

  @Override
  public void heartbeatReceived(String instance, Heartbeat heartbeat) {
    boolean startsLeaving = membership.recordHeartbeat(instance, heartbeat, System.nanoTime());
    heartbeat
        .getCrashesList()
        .forEach(record -> crashes.merge(instance, CrashRecords.toCount(instance, record)));
    if (startsLeaving) {
      onPeerLeaving.run();
    }
  }

  @Override
  public void documentReceived(DocumentText document) {
    activeDocument.install(document, "peer");
  }
}
