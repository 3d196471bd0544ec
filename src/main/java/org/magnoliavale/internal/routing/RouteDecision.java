package org.magnoliavale.internal.routing;

/**
 * A selected endpoint with the reason for the selection.
 *
 * @param candidate the endpoint
 * @param candidateCount number of usable endpoints
 * @param reason the value that the policy selected by
 */
public record RouteDecision(Candidate candidate, int candidateCount, String reason) {}
