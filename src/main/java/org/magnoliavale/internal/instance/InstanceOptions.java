package org.magnoliavale.internal.instance;

import java.time.InstantSource;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.settings.Settings;

/**
 * Everything that an instance is built from.
 *
 * @param settings its settings
 * @param clock the time of day
 * @param routingPolicy how endpoints are chosen
 */
public record InstanceOptions(
    Settings settings, InstantSource clock, RoutingPolicy routingPolicy) {}
