package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.directory.EndpointIdentity;

/**
 * What this instance tells an endpoint beside the caller's own headers.
 *
 * @param endpoint the incarnation that is meant
 * @param timeRemaining how long the answer is waited for
 * @param urgency 0 (most urgent) to 9
 * @param lastEventId the event after which the stream goes on, if it is resumed
 */
public record Forwarding(
    EndpointIdentity endpoint, Duration timeRemaining, int urgency, Optional<Long> lastEventId) {}
