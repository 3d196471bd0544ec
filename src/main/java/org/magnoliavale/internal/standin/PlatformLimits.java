package org.magnoliavale.internal.standin;

/**
 * Rates of the platform stand-in.
 *
 * @param readsPerSecond table reads a second
 * @param writesPerSecond table commits a second
 * @param loadsPerSecond model loads a second from the weight store
 * @param loadsAtOnce model loads that run at once at full speed
 */
public record PlatformLimits(
    double readsPerSecond, double writesPerSecond, double loadsPerSecond, int loadsAtOnce) {}
