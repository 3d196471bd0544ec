package org.magnoliavale.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the caller port.
 *
 * @param address listen address
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param maximumHeaderBytes maximum size of a header block, in bytes
 * @param maximumRequests maximum concurrent requests
 * @param defaultDeadline deadline of a request that specifies none
 * @param idleTimeout time without progress after which a caller's connection is closed
 * @param drainDelay delay between failing readiness and rejecting new requests
 * @param drainTimeout maximum wait for requests in flight during shutdown
 */
public record CallerSettings(
    InetSocketAddress address,
    int maximumBodyBytes,
    int maximumHeaderBytes,
    int maximumRequests,
    Duration defaultDeadline,
    Duration idleTimeout,
    Duration drainDelay,
    Duration drainTimeout) {}
