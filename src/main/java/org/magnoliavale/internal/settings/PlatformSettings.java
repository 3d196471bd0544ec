package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The platform's table and instance list.
 *
 * @param address where the platform's service listens
 * @param timeout longest wait for an answer
 * @param fleetReadsPerSecond table reads a second of the whole fleet
 * @param fleetWritesPerSecond table writes a second of the whole fleet
 * @param documentPoll time between two looks at the document's version, over the whole fleet
 * @param lease length of a placement lease
 * @param clockDrift largest difference between two instances' clocks
 */
public record PlatformSettings(
    InetSocketAddress address,
    Duration timeout,
    int fleetReadsPerSecond,
    int fleetWritesPerSecond,
    Duration documentPoll,
    Duration lease,
    Duration clockDrift) {}
