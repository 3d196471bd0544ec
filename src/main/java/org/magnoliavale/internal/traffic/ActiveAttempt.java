package org.magnoliavale.internal.traffic;

import org.magnoliavale.internal.routing.RouteDecision;

/**
 * An attempt whose response headers have arrived.
 *
 * @param attemptId id of the attempt
 * @param decision routing decision that selected the endpoint
 * @param response response of the endpoint
 */
record ActiveAttempt(String attemptId, RouteDecision decision, EndpointResponse response) {}
