package org.magnoliavale.internal.directory;

/**
 * What an endpoint says of itself in a response.
 *
 * @param limit the requests that it takes
 * @param leaving whether it is about to leave
 */
public record EndpointStatement(LimitStatement limit, boolean leaving) {}
