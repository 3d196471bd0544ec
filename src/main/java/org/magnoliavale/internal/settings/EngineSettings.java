package org.magnoliavale.internal.settings;

import java.time.Duration;

/**
 * Connections to endpoints.
 *
 * @param connectionsPerEndpoint connections to one endpoint at once
 * @param connectTimeout longest wait to connect
 * @param firstByteTimeout longest wait for the first byte of an answer
 * @param progressTimeout longest wait between two parts of an answer
 * @param idleConnection age at which an idle connection is retired
 * @param reportInterval time between two reads of an endpoint's report
 * @param maximumAnswerBytes largest answer that is not streamed, in bytes
 */
public record EngineSettings(
    int connectionsPerEndpoint,
    Duration connectTimeout,
    Duration firstByteTimeout,
    Duration progressTimeout,
    Duration idleConnection,
    Duration reportInterval,
    int maximumAnswerBytes) {}
