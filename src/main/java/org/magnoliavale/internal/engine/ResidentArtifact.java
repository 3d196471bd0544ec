package org.magnoliavale.internal.engine;

import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * An artifact that occupies an engine's memory.
 *
 * @param artifact text form of its {@link ArtifactId}
 * @param bytes memory that it occupies, in bytes
 * @param ready whether it can serve requests; false while it is being loaded
 */
public record ResidentArtifact(String artifact, long bytes, boolean ready) {
  /** Returns the artifact's id. */
  public ArtifactId id() {
    return ArtifactId.parse(artifact);
  }
}
