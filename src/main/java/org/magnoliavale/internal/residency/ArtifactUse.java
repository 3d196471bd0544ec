package org.magnoliavale.internal.residency;

/**
 * Demand for an artifact.
 *
 * @param perSecond requests per second
 * @param waiting requests that currently wait for the artifact
 * @param delayTolerant whether all requests for it are delay-tolerant, that is, can wait for a load
 */
public record ArtifactUse(double perSecond, int waiting, boolean delayTolerant) {
  /** No demand. */
  public static final ArtifactUse NONE = new ArtifactUse(0, 0, true);

  /** Returns the sum of both demands. It is delay-tolerant only if both are. */
  public ArtifactUse plus(ArtifactUse other) {
    return new ArtifactUse(
        perSecond + other.perSecond, waiting + other.waiting, delayTolerant && other.delayTolerant);
  }
}
