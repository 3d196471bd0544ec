package org.magnoliavale.internal.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.magnoliavale.internal.settings.PeerSettings;

/**
 * Settings of an instance on a platform that provides the endpoint list and the configuration.
 *
 * @param instance id of this instance
 * @param dataCentre data centre that the instance runs in
 * @param callers listening address for callers
 * @param readiness listening address for the load balancer's readiness checks
 * @param metrics listening address for metrics
 * @param peers settings of the links between instances
 * @param store address of the platform's store
 * @param lease duration of the command lease
 * @param gracePeriod time from the stop signal until the process is killed
 * @param repeatRatio retries per request that the fleet may send
 * @param repeatReserve retries that the fleet may send in a window regardless of requests
 * @param repeatWindow window in which requests and retries are counted
 * @param ceilingWindow window in which the weight store's load limit applies
 * @param logLevel lowest log level that is written
 */
public record GatewaySettings(
    String instance,
    String dataCentre,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress metrics,
    PeerSettings peers,
    InetSocketAddress store,
    Duration lease,
    Duration gracePeriod,
    double repeatRatio,
    double repeatReserve,
    Duration repeatWindow,
    Duration ceilingWindow,
    String logLevel) {}
