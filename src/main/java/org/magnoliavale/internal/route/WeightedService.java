package org.magnoliavale.internal.route;

import org.magnoliavale.internal.identifier.ServiceId;

/**
 * A share of a route's calls.
 *
 * @param service the service that gets them
 * @param weight relative share, not negative
 */
public record WeightedService(ServiceId service, double weight) {}
