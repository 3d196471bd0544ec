package org.magnoliavale.internal.routing;

/**
 * An endpoint that was chosen, and why.
 *
 * @param candidate the endpoint
 * @param considered how many endpoints could have been chosen
 * @param reason what decided
 */
public record RouteDecision(Candidate candidate, int considered, String reason) {}
