package org.magnoliavale.internal.document;

import java.net.InetSocketAddress;
import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.PoolId;

/**
 * A worker of an engine pool, or a server of a plain service.
 *
 * @param id the endpoint's name
 * @param pool the pool it belongs to
 * @param dataCentre the data centre it runs in
 * @param address its listen address
 * @param contract its guarantees
 * @param memoryBytes accelerator memory in bytes
 * @param kvCacheBytes part of the memory reserved for the KV cache, in bytes
 * @param tokensPerSecond nominal throughput in tokens per second
 * @param slots requests that it processes concurrently
 * @param draining whether it is to be drained
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
    boolean draining) {
  /** Returns the memory available to artifacts, in bytes. */
  public long artifactCapacityBytes() {
    return memoryBytes - kvCacheBytes;
  }
}
