package org.magnoliavale.internal.document;

import java.util.List;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;

/**
 * A model.
 *
 * @param id the model's name
 * @param pool the engines that serve it
 * @param version the version to serve
 * @param bytes memory of the weights, in bytes
 * @param adapters its adapters
 * @param adapterBytes memory of one adapter, in bytes
 * @param minimumReplicas replicas kept whatever the demand
 */
public record Model(
    ModelId id,
    PoolId pool,
    int version,
    long bytes,
    List<AdapterId> adapters,
    long adapterBytes,
    int minimumReplicas) {
  /** Takes a copy of the adapters. */
  public Model {
    adapters = List.copyOf(adapters);
  }

  /** Returns the artifact of the weights that are to be served. */
  public ArtifactId weights() {
    return ArtifactId.ofModel(id, version);
  }

  /** Returns the memory of the weights and every adapter together, in bytes. */
  public long bytesWithAdapters() {
    return bytes + adapterBytes * adapters.size();
  }
}
