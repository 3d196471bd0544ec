package org.magnoliavale.internal.traffic;

import org.magnoliavale.internal.routing.RouteDecision;

/**
 * An attempt whose answer has begun.
 *
 * @param attemptId the attempt's id
 * @param decision where it went
 * @param answer the answer
 */
record OpenedAttempt(String attemptId, RouteDecision decision, OpenAnswer answer) {}
