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
public final class CrashWatch {
  /** Limit of lost connections that are remembered; the oldest are dropped first. */
  private static final int MAXIMUM_SUSPICIONS = 256;

  /** Time between a lost connection and the failure that confirms a crash. */
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private record Suspicion(Fingerprint fingerprint, EndpointIdentity endpoint, long nanos) {}

  private final CrashRegistry registry;
  private final Deque<Suspicion> suspicions = new ArrayDeque<>();

  /** Creates a detector that records crashes in {@code registry}. */
  public CrashWatch(CrashRegistry registry) {
    this.registry = registry;
  }

  /** Returns whether a request was in flight in too many crashes to be sent again. */
  public boolean isStopped(Fingerprint fingerprint) {
    return registry.crashes(fingerprint) >= CrashRegistry.CRASH_LIMIT;
  }

  /** Records that a connection was lost while the endpoint may have been executing a request. */
  public synchronized void broke(Fingerprint fingerprint, EndpointIdentity endpoint, long nanos) {
    if (suspicions.size() >= MAXIMUM_SUSPICIONS) {
      suspicions.removeFirst();
    }
    suspicions.addLast(new Suspicion(fingerprint, endpoint, nanos));
  }

  /** Records that an endpoint accepts no connection or has been replaced by another incarnation. */
  public synchronized void down(EndpointIdentity endpoint, long nanos) {
    Iterator<Suspicion> iterator = suspicions.iterator();
    while (iterator.hasNext()) {
      Suspicion suspicion = iterator.next();
      boolean expired = nanos - suspicion.nanos() > SUSPICION_NANOS;
      boolean confirmed = !expired && suspicion.endpoint().equals(endpoint);
      if (confirmed) {
        registry.crashed(suspicion.fingerprint(), new EndpointId(endpoint.id()));
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
