package org.magnoliavale.internal.call;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Finds the requests that were in flight when an endpoint crashed. Thread-safe.
 *
 * <p>A lost connection alone does not prove a crash. It counts as one only if the endpoint is found
 * to be down within 5 s.
 */
public final class CrashDetector {
  /** Limit of lost connections that are remembered; the oldest are dropped first. */
  private static final int MAXIMUM_LOST_CONNECTIONS = 256;

  /** Time between a lost connection and the failure that confirms a crash. */
  private static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private record LostConnection(Fingerprint fingerprint, EndpointIdentity endpoint, long nanos) {}

  private final CrashRegistry registry;
  private final Deque<LostConnection> lostConnections = new ArrayDeque<>();

  /** Creates a detector that records crashes in {@code registry}. */
  public CrashDetector(CrashRegistry registry) {
    this.registry = registry;
  }

  /** Returns whether a request was in flight in too many crashes to be sent again. */
  public boolean isBlocked(Fingerprint fingerprint) {
    return registry.crashes(fingerprint) >= CrashRegistry.CRASH_LIMIT;
  }

  /** Records that a connection was lost while the endpoint may have been executing a request. */
  public synchronized void connectionLost(
      Fingerprint fingerprint, EndpointIdentity endpoint, long nanos) {
    if (lostConnections.size() >= MAXIMUM_LOST_CONNECTIONS) {
      lostConnections.removeFirst();
    }
    lostConnections.addLast(new LostConnection(fingerprint, endpoint, nanos));
  }

  /** Records that an endpoint accepts no connection or has been replaced by another incarnation. */
  public synchronized void endpointDown(EndpointIdentity endpoint, long nanos) {
    Iterator<LostConnection> iterator = lostConnections.iterator();
    while (iterator.hasNext()) {
      LostConnection lost = iterator.next();
      boolean expired = nanos - lost.nanos() > CONFIRMATION_TIMEOUT_NANOS;
      boolean confirmed = !expired && lost.endpoint().equals(endpoint);
      if (confirmed) {
        registry.recordCrash(lost.fingerprint(), new EndpointId(endpoint.id()));
      }
      if (expired || confirmed) {
        iterator.remove();
      }
    }
  }

  /** Clears the crash count of a request that was answered completely. */
  public void answered(Fingerprint fingerprint) {
    if (registry.crashes(fingerprint) > 0) {
      registry.lift(fingerprint);
    }
  }
}
