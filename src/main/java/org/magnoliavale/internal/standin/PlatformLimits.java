package org.magnoliavale.internal.standin;

/**
 * Rate limits of the platform stand-in.
 *
 * @param readsPerSecond table reads per second
 * @param writesPerSecond table commits per second
 * @param loadsPerSecond loads per second from the weight store
 * @param maximumConcurrentLoads maximum number of concurrent loads
 */
public record PlatformLimits(
    double readsPerSecond,
    double writesPerSecond,
    double loadsPerSecond,
    int maximumConcurrentLoads) {}
