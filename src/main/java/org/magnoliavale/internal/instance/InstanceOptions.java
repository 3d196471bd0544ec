package org.magnoliavale.internal.instance;

import java.time.InstantSource;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.settings.Settings;

/**
 * Options of an instance.
 *
 * @param settings settings of the instance
 * @param clock wall clock
 * @param routingPolicy policy that selects an endpoint for each attempt
 */
public record InstanceOptions(
    Settings settings, InstantSource clock, RoutingPolicy routingPolicy) {}
