package org.magnoliavale.internal.engine;

import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * What an engine says about itself. It is always somewhat old when it is read.
 *
 * @param incarnation changes whenever the engine restarts with empty memory
 * @param sequence rises with every report of an incarnation
 * @param memoryBytes accelerator memory in bytes
 * @param highestFence highest fencing number seen by this incarnation
 * @param draining whether the engine takes no new requests
 * @param running requests being worked on
 * @param waiting requests that wait for a slot
 * @param queuedTokens tokens still to be generated for all of them
 * @param residents what occupies the memory
 * @param transmissions the latest transmissions of orders that it dealt with
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
    List<SettledTransmission> transmissions) {
  /** Takes copies; absent lists read as empty ones. */
  public EngineReport {
    residents = residents == null ? List.of() : List.copyOf(residents);
    transmissions = transmissions == null ? List.of() : List.copyOf(transmissions);
  }

  /** Returns the resident artifact, if it occupies memory. */
  public Optional<ResidentArtifact> resident(ArtifactId artifact) {
    String name = artifact.toString();
    return residents.stream().filter(resident -> resident.artifact().equals(name)).findFirst();
  }

  /** Tells whether the engine is finished with a transmission. */
  public boolean hasSettled(String transmission) {
    return transmissions.stream()
        .anyMatch(settled -> settled.id().equals(transmission) && settled.isFinal());
  }
}
