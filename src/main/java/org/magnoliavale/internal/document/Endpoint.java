package org.magnoliavale.internal.document;

import java.net.InetSocketAddress;
import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.PoolId;

/**
 * One worker of an engine pool, or one server of a plain service.
 *
 * @param id the endpoint's name
 * @param pool the pool it belongs to
 * @param dataCentre where it runs
 * @param address where it listens
 * @param contract what it promises
 * @param memoryBytes accelerator memory in bytes
 * @param kvCacheBytes part of the memory kept for the KV cache, in bytes
 * @param tokensPerSecond nominal speed in tokens a second
 * @param slots requests that it works on at once
 * @param leaving whether it is to be emptied
 */
public record Endpoint(
    EndpointId id,
    PoolId pool,
    DataCentreId dataCentre,
    InetSocketAddress address,
    Contract contract,
    long memoryBytes,
    long kvCacheBytes,
    double tokensPerSecond,
    int slots,
    boolean leaving) {
  /** Returns the memory that artifacts may occupy, in bytes. */
  public long placeableBytes() {
    return memoryBytes - kvCacheBytes;
  }
}
