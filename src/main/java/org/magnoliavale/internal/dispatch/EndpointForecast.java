package org.magnoliavale.internal.dispatch;

import java.util.Optional;
import java.util.OptionalDouble;
import org.magnoliavale.internal.directory.EndpointIdentity;

/**
 * What is expected of a request if it is sent to one endpoint now.
 *
 * @param endpoint the endpoint
 * @param firstEventMs time to the first event, or to the response of a service without an engine,
 *     in milliseconds
 * @param eventIntervalMs time between events in milliseconds; 0 for a service without an engine
 * @param requests requests of all instances at the endpoint, without this one
 * @param unreadTokens prompt tokens of them that are still to be read
 * @param cachedTokens prompt tokens of this request that the endpoint is expected to keep
 * @param memoryLeft memory that is left for this request, in tokens; empty if the engine's memory
 *     is not known
 * @param reportAgeMs age of the endpoint's newest report in milliseconds; -1 if there is none
 * @param timeFactor how many times as long as usual work takes there
 * @param exclusion why the endpoint does not get the request, empty if it may get it
 */
public record EndpointForecast(
    EndpointIdentity endpoint,
    double firstEventMs,
    double eventIntervalMs,
    double requests,
    double unreadTokens,
    int cachedTokens,
    OptionalDouble memoryLeft,
    long reportAgeMs,
    double timeFactor,
    Optional<EndpointExclusion> exclusion) {
  /** Returns the forecast for an endpoint of which nothing is known. */
  static EndpointForecast unknown(EndpointIdentity endpoint) {
    return new EndpointForecast(
        endpoint, 0, 0, 0, 0, 0, OptionalDouble.empty(), -1, 1, Optional.empty());
  }

  /** Returns the same forecast with a reason why the endpoint does not get the request. */
  EndpointForecast excludedFor(EndpointExclusion reason) {
    return new EndpointForecast(
        endpoint,
        firstEventMs,
        eventIntervalMs,
        requests,
        unreadTokens,
        cachedTokens,
        memoryLeft,
        reportAgeMs,
        timeFactor,
        Optional.of(reason));
  }
}
