package org.magnoliavale.internal.gateway;

import java.util.Collection;
import java.util.function.Consumer;
import org.magnoliavale.internal.call.CallRegistry;
import org.magnoliavale.internal.call.CrashDetector;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.metrics.UnexpectedFailures;
import org.magnoliavale.internal.origin.RecordedOrigins;
import org.magnoliavale.internal.residency.ResidencyController;

/**
 * Tells all parts of an instance that use endpoints of each read of the directory.
 *
 * @param announceLocalState tells peers what this instance has learnt
 */
record EndpointChanges(
    EndpointPool endpoints,
    InstanceReach reach,
    RecordedOrigins origins,
    CrashDetector crashDetector,
    ResidencyController residency,
    EndpointDepartures departures,
    CallRegistry calls,
    Runnable announceLocalState,
    UnexpectedFailures failures)
    implements Consumer<Collection<DirectoryEntry>> {
  @Override
  public void accept(Collection<DirectoryEntry> entries) {
    long now = System.nanoTime();
    failures.contain("Software versions could not be followed.", () -> origins.update(entries));
    endpoints.update(entries, now);
    reach.endpointsListed(entries);
    crashDetector.endpointsListed(entries.stream().map(DirectoryEntry::identity).toList(), now);
    failures.contain("Endpoints could not be planned with.", () -> planWith(entries));
    if (departures.takeNews()) {
      announceLocalState.run();
    }
    calls.endpointsChanged();
  }

  private void planWith(Collection<DirectoryEntry> entries) {
    if (residency.update(entries)) {
      announceLocalState.run();
    }
  }
}
