package org.magnoliavale.internal.gateway;

import java.util.function.LongSupplier;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.EndpointStatement;
import org.magnoliavale.internal.directory.EndpointStatementListener;
import org.magnoliavale.internal.limit.EndpointLimits;

/**
 * Passes what endpoints say of themselves to the parts of this instance that act on it.
 *
 * @param limits the limits that endpoints name
 * @param departures the endpoints that leave
 * @param nanoClock monotonic time in nanoseconds
 */
record EndpointStatements(
    EndpointLimits limits, EndpointDepartures departures, LongSupplier nanoClock)
    implements EndpointStatementListener {
  @Override
  public void heard(EndpointIdentity endpoint, EndpointStatement statement, long sentNanos) {
    long now = nanoClock.getAsLong();
    limits.observe(endpoint, statement.limit(), sentNanos, now);
    if (statement.pause().isPositive()) {
      limits.pause(endpoint, statement.pause(), now);
    }
    if (statement.leaving()) {
      departures.observeLeaving(endpoint, now);
    }
  }

  /** Applies what an endpoint has said in an answer to a command, sent some unknown time ago. */
  void heardByControl(EndpointIdentity endpoint, EndpointStatement statement) {
    long longestAgeNanos = GatewayClients.CONTROL_IDLE_TIMEOUT.toNanos();
    heard(endpoint, statement, nanoClock.getAsLong() - longestAgeNanos);
  }

  /** Returns whether peers have to be told at once of something that was heard. */
  boolean takeNews() {
    boolean limitChanged = limits.takeNews();
    return departures.takeNews() || limitChanged;
  }
}
