package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.PoolId;

/**
 * A pool: endpoints whose placement is managed under one lease.
 *
 * @param id the pool's name
 * @param engines whether the endpoints are engines that run models; otherwise they are servers of
 *     plain services
 * @param movePrice cost of a move: it must gain more requests answered in time than this
 * @param loadsPerSecond rate at which the weight store serves model loads
 * @param loadsAtOnce maximum concurrent model loads at full speed
 * @param adapterLoadsAtOnce maximum concurrent adapter loads
 */
public record Pool(
    PoolId id,
    boolean engines,
    double movePrice,
    double loadsPerSecond,
    int loadsAtOnce,
    int adapterLoadsAtOnce) {}
