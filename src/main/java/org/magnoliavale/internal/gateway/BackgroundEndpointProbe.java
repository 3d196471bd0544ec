package org.magnoliavale.internal.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.magnoliavale.internal.call.EndpointProbe;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.residency.EndpointControl;

/**
 * Checks in the background whether an endpoint is down. It checks a few times, since an endpoint
 * that crashes may accept connections a moment longer.
 */
final class BackgroundEndpointProbe implements EndpointProbe {
  private static final int MAXIMUM_CHECKS = 3;
  private static final long CHECK_INTERVAL_MS = 100;

  /** Receives the endpoints that are down. */
  interface Listener {
    /** Called when an endpoint was found to be down at a monotonic time in nanoseconds. */
    void endpointDown(EndpointIdentity endpoint, long nowNanos);
  }

  private final Executor executor;
  private final EndpointControl control;
  private final LongSupplier nanoClock;
  private final Listener listener;

  BackgroundEndpointProbe(
      Executor executor, EndpointControl control, LongSupplier nanoClock, Listener listener) {
    this.executor = executor;
    this.control = control;
    this.nanoClock = nanoClock;
    this.listener = listener;
  }

  @Override
  public void probe(DirectoryEntry endpoint) {
    executor.execute(() -> check(endpoint));
  }

  private void check(DirectoryEntry endpoint) {
    for (int checks = 0; checks < MAXIMUM_CHECKS; checks++) {
      if (control.isDown(endpoint)) {
        listener.endpointDown(endpoint.identity(), nanoClock.getAsLong());
        return;
      }
      try {
        TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
