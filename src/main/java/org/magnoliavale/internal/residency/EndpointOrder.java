package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * An order to an endpoint to load or to drop an artifact.
 *
 * @param endpoint the incarnation that is meant
 * @param operation what it is to do
 * @param artifact with what
 * @param expectedSequence orders that it must have accepted before; a late copy then fails
 * @param holder who orders
 * @param fence fencing token of the holder's lease
 */
public record EndpointOrder(
    EndpointIdentity endpoint,
    Operation operation,
    Artifact artifact,
    long expectedSequence,
    String holder,
    long fence) {
  /** What an endpoint can be ordered to do. */
  public enum Operation {
    /** Load the artifact. */
    LOAD,
    /** Drop the artifact. */
    UNLOAD
  }
}
