package org.magnoliavale.internal.gateway;

import java.util.Optional;
import java.util.function.Supplier;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.metrics.UnexpectedFailures;
import org.magnoliavale.internal.residency.EndpointCommand;
import org.magnoliavale.internal.residency.EndpointCommandResult;
import org.magnoliavale.internal.residency.EndpointControl;
import org.magnoliavale.internal.residency.EndpointReport;

/**
 * Takes an exception in an exchange with an endpoint for an answer that was lost, so that the
 * endpoint is not taken to be in the middle of that exchange for good.
 *
 * @param control exchanges with endpoints
 * @param failures records the exceptions
 */
record ContainedEndpointControl(EndpointControl control, UnexpectedFailures failures)
    implements EndpointControl {
  @Override
  public EndpointCommandResult send(DirectoryEntry endpoint, EndpointCommand command) {
    return contain(() -> control.send(endpoint, command), EndpointCommandResult.UNKNOWN);
  }

  @Override
  public boolean isDown(DirectoryEntry endpoint) {
    return contain(() -> control.isDown(endpoint), false);
  }

  @Override
  public boolean isReachable(DirectoryEntry endpoint) {
    return contain(() -> control.isReachable(endpoint), false);
  }

  @Override
  public Optional<EndpointReport> fetchReport(DirectoryEntry endpoint) {
    return contain(() -> control.fetchReport(endpoint), Optional.empty());
  }

  private <T> T contain(Supplier<T> exchange, T lost) {
    try {
      return exchange.get();
    } catch (RuntimeException | Error e) {
      failures.record(e, "Exchange with an endpoint failed.");
      return lost;
    }
  }
}
