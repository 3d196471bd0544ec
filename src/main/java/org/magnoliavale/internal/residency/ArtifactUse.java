package org.magnoliavale.internal.residency;

/**
 * How much an artifact is asked for.
 *
 * @param perSecond requests a second
 * @param waiting calls that wait for it now
 */
public record ArtifactUse(double perSecond, int waiting) {
  /** No use at all. */
  public static final ArtifactUse NONE = new ArtifactUse(0, 0);

  /** Returns both uses together. */
  public ArtifactUse plus(ArtifactUse other) {
    return new ArtifactUse(perSecond + other.perSecond, waiting + other.waiting);
  }
}
