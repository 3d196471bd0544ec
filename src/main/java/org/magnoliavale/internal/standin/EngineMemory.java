package org.magnoliavale.internal.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.magnoliavale.internal.collection.BoundedMap;
import org.magnoliavale.internal.document.Contract;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.engine.TransmissionOutcome;

/**
 * The memory of an engine stand-in. It does as it is told, even beyond its capacity, and remembers
 * whether that ever happened.
 */
public final class EngineMemory {
  /** What came of an order. */
  public enum Verdict {
    /** The order was taken. */
    ACCEPTED,
    /** The order's fencing number is lower than one seen. */
    STALE_FENCE
  }

  private static final int REMEMBERED_TRANSMISSIONS = 512;

  private final long capacityBytes;
  private final Contract contract;
  private final Map<String, ResidentArtifact> residents = new LinkedHashMap<>();
  private final Map<String, String> transmissions = BoundedMap.byAge(REMEMBERED_TRANSMISSIONS);
  private String incarnation = UUID.randomUUID().toString();
  private long highestFence;
  private boolean everOvercommitted;

  /** Returns empty memory. */
  public EngineMemory(long capacityBytes, Contract contract) {
    this.capacityBytes = capacityBytes;
    this.contract = contract;
  }

  /** Takes an order. A load stays unfinished until {@link #finishLoad}. */
  public synchronized Verdict take(EngineCommand order) {
    if (contract.enforcesFencing() && order.fence() < highestFence) {
      transmissions.put(order.transmission(), "refused");
      return Verdict.STALE_FENCE;
    }
    highestFence = Math.max(highestFence, order.fence());
    if (order.kind().equals(EngineCommand.LOAD)) {
      beginLoad(order);
    } else {
      residents.remove(order.artifact());
      transmissions.put(order.transmission(), "done");
    }
    return Verdict.ACCEPTED;
  }

  private void beginLoad(EngineCommand order) {
    if (residents.containsKey(order.artifact())) {
      transmissions.put(order.transmission(), "done");
      return;
    }
    residents.put(order.artifact(), new ResidentArtifact(order.artifact(), order.bytes(), false));
    transmissions.put(order.transmission(), "running");
    long occupied = residents.values().stream().mapToLong(ResidentArtifact::bytes).sum();
    everOvercommitted |= occupied > capacityBytes;
  }

  /** Finishes a load, unless the artifact was removed or the engine restarted meanwhile. */
  public synchronized void finishLoad(EngineCommand order, String startedIn) {
    if (!incarnation.equals(startedIn)) {
      return;
    }
    transmissions.put(order.transmission(), "done");
    residents.computeIfPresent(
        order.artifact(), (name, resident) -> new ResidentArtifact(name, resident.bytes(), true));
  }

  /** Forgets what a restart forgets; the contract says whether the fencing number is kept. */
  public synchronized void restart() {
    residents.clear();
    transmissions.clear();
    if (!contract.persistsFencingToken()) {
      highestFence = 0;
    }
    incarnation = UUID.randomUUID().toString();
  }

  /** Tells whether an artifact can serve requests. */
  public synchronized boolean isReady(String artifact) {
    ResidentArtifact resident = residents.get(artifact);
    return resident != null && resident.ready();
  }

  /** Tells whether an artifact is being loaded. */
  public synchronized boolean isLoading(String artifact) {
    ResidentArtifact resident = residents.get(artifact);
    return resident != null && !resident.ready();
  }

  /** Returns what occupies the memory. */
  public synchronized List<ResidentArtifact> residents() {
    return List.copyOf(residents.values());
  }

  /** Returns the latest transmissions. */
  public synchronized List<TransmissionOutcome> transmissions() {
    List<TransmissionOutcome> list = new ArrayList<>();
    transmissions.forEach((id, outcome) -> list.add(new TransmissionOutcome(id, outcome)));
    return list;
  }

  /** Returns the incarnation. */
  public synchronized String incarnation() {
    return incarnation;
  }

  /** Returns the highest fencing number that this incarnation has seen. */
  public synchronized long highestFence() {
    return highestFence;
  }

  /** Tells whether more memory than there is was ever occupied. */
  public synchronized boolean everOvercommitted() {
    return everOvercommitted;
  }
}
