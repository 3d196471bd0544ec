package org.magnoliavale.internal.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.magnoliavale.internal.settings.PeerSettings;

/**
 * Settings of an instance on a platform that lists endpoints and holds the configuration.
 *
 * @param instance name of this instance
 * @param dataCentre where it runs
 * @param callers where callers connect
 * @param readiness where the balancer asks
 * @param metrics where metrics are read
 * @param peers links between instances
 * @param store the platform's store
 * @param lease length of the lease of orders
 * @param gracePeriod time from the stop signal to the kill
 * @param repeatRatio repeats that the fleet may send for each request
 * @param repeatReserve repeats that the fleet may send in a window whatever the requests
 * @param repeatWindow the window
 * @param ceilingWindow window of the weight store's ceiling
 * @param logLevel least important level that is written
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
