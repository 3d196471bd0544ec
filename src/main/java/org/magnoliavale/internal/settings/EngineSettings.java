package org.magnoliavale.internal.settings;

import java.time.Duration;

/**
 * Settings of the connections to endpoints.
 *
 * @param connectionsPerEndpoint maximum concurrent connections to one endpoint
 * @param connectTimeout timeout for establishing a connection
 * @param firstByteTimeout timeout for the first byte of a response
 * @param progressTimeout maximum time between two parts of a response
 * @param idleConnectionTimeout idle time after which a connection is closed
 * @param reportInterval interval at which an endpoint's report is polled
 * @param maximumResponseBytes maximum size of a non-streamed response, in bytes
 */
public record EngineSettings(
    int connectionsPerEndpoint,
    Duration connectTimeout,
    Duration firstByteTimeout,
    Duration progressTimeout,
    Duration idleConnectionTimeout,
    Duration reportInterval,
    int maximumResponseBytes) {}
