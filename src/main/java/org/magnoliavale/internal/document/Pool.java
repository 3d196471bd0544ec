package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.PoolId;

/**
 * Endpoints that are placed together under one lease.
 *
 * @param id the pool's name
 * @param engines whether the endpoints are model engines; else they are servers of plain services
 * @param movePrice requests answered in time that a move must bring to be worth it
 * @param loadsPerSecond rate at which the weight store serves model loads
 * @param loadsAtOnce model loads that run at once at full speed
 * @param adapterLoadsAtOnce adapter loads in flight at once
 */
public record Pool(
    PoolId id,
    boolean engines,
    double movePrice,
    double loadsPerSecond,
    int loadsAtOnce,
    int adapterLoadsAtOnce) {}
