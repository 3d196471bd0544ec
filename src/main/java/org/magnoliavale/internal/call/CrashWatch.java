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
 * Notes which requests were in flight when an endpoint crashed. Thread-safe.
 *
 * <p>A connection that broke is no proof of a crash. It counts once the endpoint is found to be
 * down shortly afterwards.
 */
public final class CrashWatch {
  private static final int MAXIMUM_SUSPICIONS = 256;
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private record Suspicion(Fingerprint fingerprint, EndpointIdentity endpoint, long nanos) {}

  private final CrashRegistry registry;
  private final Deque<Suspicion> suspicions = new ArrayDeque<>();

  /** Returns a watch that counts in {@code registry}. */
  public CrashWatch(CrashRegistry registry) {
    this.registry = registry;
  }

  /** Tells whether a request has crashed too many endpoints to be sent again. */
  public boolean isStopped(Fingerprint fingerprint) {
    return registry.crashes(fingerprint) >= CrashRegistry.CRASH_LIMIT;
  }

  /** Notes that an endpoint's connection broke while it may have run a request. */
  public synchronized void broke(Fingerprint fingerprint, EndpointIdentity endpoint, long nanos) {
    if (suspicions.size() >= MAXIMUM_SUSPICIONS) {
      suspicions.removeFirst();
    }
    suspicions.addLast(new Suspicion(fingerprint, endpoint, nanos));
  }

  /** Notes that an endpoint takes no connection, or is another incarnation now. */
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

  /** Notes that a request was answered whole, and so is harmless. */
  public void answered(Fingerprint fingerprint) {
    if (registry.crashes(fingerprint) > 0) {
      registry.lift(fingerprint);
    }
  }
}
