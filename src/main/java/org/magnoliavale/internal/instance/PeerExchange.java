package org.magnoliavale.internal.instance;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.Map;
import org.magnoliavale.internal.containment.CrashCount;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.document.ActiveDocument;
import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerListener;
import org.magnoliavale.internal.link.PeerState;
import org.magnoliavale.internal.link.protocol.CrashRecord;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.ModelDemand;

/** Passes between this instance's parts and its links: document, demand, crashes, leaving. */
final class PeerExchange implements PeerState, PeerListener {
  /** Models named in one heartbeat; the rest have less demand than these. */
  private static final int MAXIMUM_MODELS = 64;

  private final ActiveDocument documents;
  private final Membership membership;
  private final CrashRegistry crashes;
  private final Runnable someoneLeaves;
  private volatile Map<ModelId, Double> demand = Map.of();
  private volatile boolean leaving;

  PeerExchange(
      ActiveDocument documents,
      Membership membership,
      CrashRegistry crashes,
      Runnable someoneLeaves) {
    this.documents = documents;
    this.membership = membership;
    this.crashes = crashes;
    this.someoneLeaves = someoneLeaves;
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
        Heartbeat.newBuilder().setDocumentVersion(documents.version()).setLeaving(leaving);
    demand.entrySet().stream()
        .sorted(Map.Entry.<ModelId, Double>comparingByValue().reversed())
        .limit(MAXIMUM_MODELS)
        .forEach(
            entry ->
                heartbeat.addDemand(
                    ModelDemand.newBuilder()
                        .setModel(entry.getKey().value())
                        .setRequestsPerSecond(entry.getValue().floatValue())));
    crashes.localCounts().forEach(note -> heartbeat.addCrashes(record(note)));
    return heartbeat.build();
  }

  @Override
  public DocumentText document() {
    return documents.text();
  }

  @Override
  public void heartbeatReceived(String instance, Heartbeat heartbeat) {
    boolean leavesNow = membership.heard(instance, heartbeat, System.nanoTime());
    heartbeat.getCrashesList().forEach(record -> crashes.merge(instance, note(record)));
    if (leavesNow) {
      someoneLeaves.run();
    }
  }

  @Override
  public void documentReceived(DocumentText document) {
    documents.install(document, "peer");
  }

  private static CrashRecord record(CrashCount note) {
    byte[] fingerprint = HexFormat.of().parseHex(note.fingerprint().value());
    return CrashRecord.newBuilder()
        .setFingerprint(ByteString.copyFrom(fingerprint))
        .setCrashes(note.crashes())
        .setAgeMs(note.ageMs())
        .setLifted(note.lifted())
        .build();
  }

  private static CrashCount note(CrashRecord record) {
    String fingerprint = HexFormat.of().formatHex(record.getFingerprint().toByteArray());
    return new CrashCount(
        new Fingerprint(fingerprint), record.getCrashes(), record.getAgeMs(), record.getLifted());
  }
}
