package org.magnoliavale.internal.placement;

import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;

/** A decision of a placement round, with its reason. */
public sealed interface Move {
  /** Loads an artifact at an endpoint. */
  record Load(ArtifactId artifact, EndpointId endpoint, long bytes, Reason reason)
      implements Move {}

  /** Unloads an artifact from an endpoint. */
  record Unload(ArtifactId artifact, EndpointId endpoint, Reason reason) implements Move {}

  /** Records a move that was considered but is not made. */
  record Declined(ArtifactId artifact, Reason reason, String detail) implements Move {}

  /** Reason for making or declining a move. */
  enum Reason {
    /** The model has fewer replicas than its minimum. */
    MISSING_REPLICA,
    /** An adapter of a resident model is absent. */
    MISSING_ADAPTER,
    /** The move adapts the number of replicas to the demand. */
    DEMAND,
    /** The move frees memory for another model, or starts to. */
    MAKE_ROOM,
    /** The document no longer has this model, version or adapter. */
    NOT_WANTED,
    /** The endpoint is draining. */
    ENDPOINT_LEAVING,
    /** There is not enough memory, and no move of this round can free it. */
    NO_ROOM,
    /** The benefit of the move is less than its cost. */
    PRICE
  }
}
