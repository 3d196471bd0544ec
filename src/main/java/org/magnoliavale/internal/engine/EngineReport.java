package org.magnoliavale.internal.engine;

import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * An engine's report of its state. The state may have changed by the time the report is read.
 *
 * @param incarnation id that changes when the engine restarts with empty memory
 * @param sequence number that rises with every report of an incarnation
 * @param memoryBytes accelerator memory in bytes
 * @param highestFence highest fencing token seen by this incarnation
 * @param draining whether the engine accepts no new requests
 * @param running number of requests in progress
 * @param waiting number of requests that wait for a slot
 * @param queuedTokens tokens still to be generated for all running and waiting requests
 * @param residents artifacts that occupy memory
 * @param transmissions the latest transmissions of commands that the engine has processed
 */
public record EngineReport(
    String incarnation,
    long sequence,
    long memoryBytes,
    long highestFence,
    boolean draining,
    int running,
    int waiting,
    long queuedTokens,
    List<ResidentArtifact> residents,
    List<TransmissionOutcome> transmissions) {
  /** Copies the lists; an absent list counts as empty. */
  public EngineReport {
    residents = residents == null ? List.of() : List.copyOf(residents);
    transmissions = transmissions == null ? List.of() : List.copyOf(transmissions);
  }

  /** Returns the entry of an artifact, if it occupies memory. */
  public Optional<ResidentArtifact> resident(ArtifactId artifact) {
    String name = artifact.toString();
    return residents.stream().filter(resident -> resident.artifact().equals(name)).findFirst();
  }

  /** Returns whether the engine has finished processing a transmission. */
  public boolean hasFinished(String transmission) {
    return transmissions.stream()
        .anyMatch(outcome -> outcome.id().equals(transmission) && outcome.isFinal());
  }
}
