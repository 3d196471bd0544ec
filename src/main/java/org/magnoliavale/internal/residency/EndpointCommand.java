package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * A command to an endpoint to load or unload an artifact.
 *
 * @param endpoint the target incarnation
 * @param operation whether to load or unload
 * @param artifact the artifact to load or unload
 * @param expectedSequence number of commands that the endpoint must have accepted before, so that a
 *     delayed duplicate fails
 * @param holder name of the instance that sends the command
 * @param fencingToken fencing token of the holder's lease
 */
public record EndpointCommand(
    EndpointIdentity endpoint,
    Operation operation,
    Artifact artifact,
    long expectedSequence,
    String holder,
    long fencingToken) {
  /** Operations that an endpoint can execute. */
  public enum Operation {
    /** Load the artifact. */
    LOAD,
    /** Unload the artifact. */
    UNLOAD
  }
}
