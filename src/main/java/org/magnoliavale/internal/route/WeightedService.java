package org.magnoliavale.internal.route;

import org.magnoliavale.internal.identifier.ServiceId;

/**
 * A target service of a route.
 *
 * @param service the service
 * @param weight relative share of the route's calls, not negative
 */
public record WeightedService(ServiceId service, double weight) {}
