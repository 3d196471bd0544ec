package org.magnoliavale.internal.residency;

/**
 * How much an artifact is asked for.
 *
 * @param perSecond requests a second
 * @param waiting calls that wait for it now
 * @param patient whether only calls ask for it that can wait for a load
 */
public record ArtifactUse(double perSecond, int waiting, boolean patient) {
  /** No use at all. */
  public static final ArtifactUse NONE = new ArtifactUse(0, 0, true);

  /** Returns both uses together. */
  public ArtifactUse plus(ArtifactUse other) {
    return new ArtifactUse(
        perSecond + other.perSecond, waiting + other.waiting, patient && other.patient);
  }
}
