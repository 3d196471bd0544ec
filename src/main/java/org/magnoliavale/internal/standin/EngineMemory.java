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
 * The memory of an engine stand-in. It executes every command that passes the fencing check, even
 * beyond its capacity, and records whether the capacity was ever exceeded. Thread-safe.
 */
public final class EngineMemory {
  /** Result of a command. */
  public enum Verdict {
    /** The command was accepted. */
    ACCEPTED,
    /** The command's fencing token is lower than one seen before. */
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

  /** Creates empty memory. */
  public EngineMemory(long capacityBytes, Contract contract) {
    this.capacityBytes = capacityBytes;
    this.contract = contract;
  }

  /** Executes a command. A load is in progress until {@link #finishLoad}. */
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

  /** Finishes a load, unless the artifact was unloaded or the engine restarted in the meantime. */
  public synchronized void finishLoad(EngineCommand order, String startedIn) {
    if (!incarnation.equals(startedIn)) {
      return;
    }
    transmissions.put(order.transmission(), "done");
    residents.computeIfPresent(
        order.artifact(), (name, resident) -> new ResidentArtifact(name, resident.bytes(), true));
  }

  /**
   * Starts a new incarnation with empty memory. The contract determines whether the highest fencing
   * token is retained.
   */
  public synchronized void restart() {
    residents.clear();
    transmissions.clear();
    if (!contract.persistsFencingToken()) {
      highestFence = 0;
    }
    incarnation = UUID.randomUUID().toString();
  }

  /** Returns whether an artifact can serve requests. */
  public synchronized boolean isReady(String artifact) {
    ResidentArtifact resident = residents.get(artifact);
    return resident != null && resident.ready();
  }

  /** Returns whether an artifact is being loaded. */
  public synchronized boolean isLoading(String artifact) {
    ResidentArtifact resident = residents.get(artifact);
    return resident != null && !resident.ready();
  }

  /** Returns the artifacts that are loaded or being loaded. */
  public synchronized List<ResidentArtifact> residents() {
    return List.copyOf(residents.values());
  }

  /** Returns the outcomes of the latest transmissions. */
  public synchronized List<TransmissionOutcome> transmissions() {
    List<TransmissionOutcome> list = new ArrayList<>();
    transmissions.forEach((id, outcome) -> list.add(new TransmissionOutcome(id, outcome)));
    return list;
  }

  /** Returns the id of the incarnation, which changes with each restart. */
  public synchronized String incarnation() {
    return incarnation;
  }

  /** Returns the highest fencing token seen, or 0. */
  public synchronized long highestFence() {
    return highestFence;
  }

  /** Returns whether memory use ever exceeded the capacity. */
  public synchronized boolean everOvercommitted() {
    return everOvercommitted;
  }
}
