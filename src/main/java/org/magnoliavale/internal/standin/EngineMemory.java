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
  public enum ExecutionResult {
    /** The command was accepted. */
    ACCEPTED,
    /** The command's fencing token is lower than one seen before. */
    STALE_FENCING_TOKEN
  }

  private static final int MAXIMUM_TRANSMISSIONS = 512;

  private final long capacityBytes;
  private final Contract contract;
  private final Map<String, ResidentArtifact> residents = new LinkedHashMap<>();
  private final Map<String, String> transmissions =
      BoundedMap.evictingEldest(MAXIMUM_TRANSMISSIONS);
  private String incarnation = UUID.randomUUID().toString();
  private long highestFencingToken;
  private boolean everOvercommitted;

  /** Creates empty memory. */
  public EngineMemory(long capacityBytes, Contract contract) {
    this.capacityBytes = capacityBytes;
    this.contract = contract;
  }

  /** Executes a command. A load is in progress until {@link #finishLoad}. */
  public synchronized ExecutionResult execute(EngineCommand command) {
    if (contract.enforcesFencing() && command.fence() < highestFencingToken) {
      transmissions.put(command.transmission(), "refused");
      return ExecutionResult.STALE_FENCING_TOKEN;
    }
    highestFencingToken = Math.max(highestFencingToken, command.fence());
    if (command.kind().equals(EngineCommand.LOAD)) {
      beginLoad(command);
    } else {
      residents.remove(command.artifact());
      transmissions.put(command.transmission(), "done");
    }
    return ExecutionResult.ACCEPTED;
  }

  private void beginLoad(EngineCommand command) {
    if (residents.containsKey(command.artifact())) {
      transmissions.put(command.transmission(), "done");
      return;
    }
    residents.put(
        command.artifact(), new ResidentArtifact(command.artifact(), command.bytes(), false));
    transmissions.put(command.transmission(), "running");
    long occupied = residents.values().stream().mapToLong(ResidentArtifact::bytes).sum();
    everOvercommitted |= occupied > capacityBytes;
  }

  /** Finishes a load, unless the artifact was unloaded or the engine restarted in the meantime. */
  public synchronized void finishLoad(EngineCommand command, String startedIncarnation) {
    if (!incarnation.equals(startedIncarnation)) {
      return;
    }
    transmissions.put(command.transmission(), "done");
    residents.computeIfPresent(
        command.artifact(), (name, resident) -> new ResidentArtifact(name, resident.bytes(), true));
  }

  /**
   * Starts a new incarnation with empty memory. The contract determines whether the highest fencing
   * token is retained.
   */
  public synchronized void restart() {
    residents.clear();
    transmissions.clear();
    if (!contract.persistsFencingToken()) {
      highestFencingToken = 0;
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
  public synchronized long highestFencingToken() {
    return highestFencingToken;
  }

  /** Returns whether memory use ever exceeded the capacity. */
  public synchronized boolean everOvercommitted() {
    return everOvercommitted;
  }
}
