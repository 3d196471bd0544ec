package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the platform's table and instance list.
 *
 * @param address address of the platform's service
 * @param timeout response timeout
 * @param fleetReadsPerSecond maximum table reads per second of the whole fleet
 * @param fleetWritesPerSecond maximum table writes per second of the whole fleet
 * @param documentPollInterval polling interval of the document version, for the fleet as a whole
 * @param leaseDuration duration of a placement lease
 * @param clockDrift maximum difference between the clocks of two instances
 */
public record PlatformSettings(
    InetSocketAddress address,
    Duration timeout,
    int fleetReadsPerSecond,
    int fleetWritesPerSecond,
    Duration documentPollInterval,
    Duration leaseDuration,
    Duration clockDrift) {}
