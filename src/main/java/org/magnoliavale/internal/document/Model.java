package org.magnoliavale.internal.document;

import java.util.List;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;

/**
 * A model of the configuration document.
 *
 * @param id the model's name
 * @param pool the engine pool that serves it
 * @param version the version to serve
 * @param bytes size of the weights in memory, in bytes
 * @param adapters its adapters
 * @param adapterBytes size of one adapter in memory, in bytes
 * @param minimumReplicas minimum number of replicas, independent of demand
 */
public record Model(
    ModelId id,
    PoolId pool,
    int version,
    long bytes,
    List<AdapterId> adapters,
    long adapterBytes,
    int minimumReplicas) {
  /** Copies the adapters. */
  public Model {
    adapters = List.copyOf(adapters);
  }

  /** Returns the artifact id of the weights in the version to serve. */
  public ArtifactId weights() {
    return ArtifactId.ofModel(id, version);
  }

  /** Returns the size of the weights and all adapters together, in bytes. */
  public long bytesWithAdapters() {
    return bytes + adapterBytes * adapters.size();
  }
}
