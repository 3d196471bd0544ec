package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.directory.EndpointIdentity;

/**
 * Values that this instance adds to the headers of a request to an endpoint.
 *
 * @param endpoint the expected endpoint and incarnation
 * @param timeRemaining time until the deadline of the call
 * @param urgency 0 (most urgent) to 9
 * @param lastEventId the event after which the stream is resumed, if it is
 */
public record ForwardingContext(
    EndpointIdentity endpoint, Duration timeRemaining, int urgency, Optional<Long> lastEventId) {}
