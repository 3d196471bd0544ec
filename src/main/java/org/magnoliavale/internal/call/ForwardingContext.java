package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.tenant.CallerIdentity;

/**
 * Values that this instance adds to the headers of a request to an endpoint.
 *
 * @param endpoint the expected endpoint and incarnation
 * @param timeRemaining time until the deadline of the call
 * @param urgency 0 (most urgent) to 9
 * @param lastEventId the event after which the stream is resumed, if it is
 * @param caller whom the call belongs to
 */
public record ForwardingContext(
    EndpointIdentity endpoint,
    Duration timeRemaining,
    int urgency,
    Optional<Long> lastEventId,
    CallerIdentity caller) {
  /** Returns the values for a call whose configuration has no tenants. */
  public ForwardingContext(
      EndpointIdentity endpoint, Duration timeRemaining, int urgency, Optional<Long> lastEventId) {
    this(endpoint, timeRemaining, urgency, lastEventId, new CallerIdentity.Unchecked());
  }
}
