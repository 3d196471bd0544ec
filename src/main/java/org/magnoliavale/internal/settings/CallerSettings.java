package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The port for callers.
 *
 * @param address where callers connect
 * @param maximumBodyBytes largest request body, in bytes
 * @param maximumHeaderBytes largest header block, in bytes
 * @param maximumRequests requests in progress at once
 * @param defaultDeadline deadline of a request that names none
 * @param idleTimeout longest silence of a caller
 * @param drainWait wait between failing readiness and refusing new work
 * @param drainTimeout longest wait for requests in flight when stopping
 */
public record CallerSettings(
    InetSocketAddress address,
    int maximumBodyBytes,
    int maximumHeaderBytes,
    int maximumRequests,
    Duration defaultDeadline,
    Duration idleTimeout,
    Duration drainWait,
    Duration drainTimeout) {}
