package org.magnoliavale.internal.route;

import java.time.Duration;

/**
 * A model that the endpoints of a service can serve.
 *
 * @param name the model's name
 * @param weightsMb size of its weights, in megabytes
 * @param storeLoadTime duration of a load from the weight store
 * @param diskLoadTime duration of a load from the endpoint's disk
 * @param memoryLoadTime duration of a load from the endpoint's main memory
 * @param adapters number of its adapters
 * @param adapterMb size of one adapter, in megabytes
 */
public record ModelSpecification(
    String name,
    double weightsMb,
    Duration storeLoadTime,
    Duration diskLoadTime,
    Duration memoryLoadTime,
    int adapters,
    double adapterMb) {}
