package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.PoolId;

/**
 * A pool: endpoints whose placement is managed under one lease.
 *
 * @param id the pool's name
 * @param enginePool whether the endpoints are engines that run models; otherwise they are servers
 *     of plain services
 * @param moveCost cost of a move: it must gain more requests answered in time than this
 * @param loadsPerSecond rate at which the weight store serves model loads
 * @param maximumConcurrentLoads maximum concurrent model loads at full speed
 * @param maximumConcurrentAdapterLoads maximum concurrent adapter loads
 */
public record Pool(
    PoolId id,
    boolean enginePool,
    double moveCost,
    double loadsPerSecond,
    int maximumConcurrentLoads,
    int maximumConcurrentAdapterLoads) {}
