package org.magnoliavale.internal.traffic;

import org.magnoliavale.internal.routing.RouteDecision;

/**
 * An attempt whose response headers have arrived.
 *
 * @param attemptId id of the attempt
 * @param decision routing decision that selected the endpoint
 * @param answer response of the endpoint
 */
record OpenedAttempt(String attemptId, RouteDecision decision, OpenAnswer answer) {}
