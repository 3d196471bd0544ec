package org.magnoliavale.internal.directory;

import java.time.Duration;

/**
 * What an endpoint says of itself in a response.
 *
 * @param limit the requests that it takes
 * @param leaving whether it is about to leave
 * @param pause time for which it wants no further request of this instance; zero if it wants them
 */
public record EndpointStatement(LimitStatement limit, boolean leaving, Duration pause) {}
