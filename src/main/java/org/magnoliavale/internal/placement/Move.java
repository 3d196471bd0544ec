package org.magnoliavale.internal.placement;

import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;

/** What a placement round decided. Each decision has a reason, also one against a move. */
public sealed interface Move {
  /** Brings an artifact to an endpoint. */
  record Load(ArtifactId artifact, EndpointId endpoint, long bytes, Reason reason)
      implements Move {}

  /** Removes an artifact from an endpoint. */
  record Unload(ArtifactId artifact, EndpointId endpoint, Reason reason) implements Move {}

  /** Leaves things as they are although a move was considered. */
  record Declined(ArtifactId artifact, Reason reason, String detail) implements Move {}

  /** Why a move is made or not made. */
  enum Reason {
    /** The model has fewer replicas than it must have. */
    MISSING_REPLICA,
    /** An adapter of a resident model is absent. */
    MISSING_ADAPTER,
    /** More replicas answer more requests in time than the move costs. */
    DEMAND,
    /** A move makes room for a model without a replica. */
    MAKE_ROOM,
    /** The document names another version or no such model. */
    NOT_WANTED,
    /** The endpoint is to be emptied. */
    ENDPOINT_LEAVING,
    /** No endpoint has room, whatever is moved. */
    NO_ROOM,
    /** The move would bring less than its price. */
    PRICE
  }
}
