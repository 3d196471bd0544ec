package org.magnoliavale.internal.containment;

import java.util.Set;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.EndpointId;

/** Blocks requests that were in flight in too many endpoint crashes. */
public final class CrashGuard {
  private final CrashRegistry registry;
  private final CrashProbe probe;

  /** Creates a guard that uses the fleet's counts. */
  public CrashGuard(CrashRegistry registry, CrashProbe probe) {
    this.registry = registry;
    this.probe = probe;
  }

  /**
   * Checks that a request may be sent.
   *
   * @throws MagnoliavaleException if the request was in flight in too many crashes
   */
  public void checkNotBlocked(Fingerprint fingerprint) {
    int crashes = registry.crashes(fingerprint);
    if (crashes >= CrashRegistry.CRASH_LIMIT) {
      throw MagnoliavaleException.of(
          ErrorCode.REQUEST_CRASHES_ENDPOINTS,
          "the request was in flight in " + crashes + " endpoint crashes and is blocked");
    }
  }

  /**
   * Returns the endpoints that the request must not be sent to, because another suspect is there.
   */
  public Set<EndpointId> excludedEndpoints(Fingerprint fingerprint) {
    return registry.crashes(fingerprint) == 0 ? Set.of() : registry.endpointsWithSuspects();
  }

  /** Records that a request is sent. Returns whether it is a suspect; only suspects are tracked. */
  public boolean begin(Fingerprint fingerprint, EndpointId endpoint) {
    boolean suspect = registry.crashes(fingerprint) > 0;
    if (suspect) {
      registry.suspectSent(fingerprint, endpoint);
    }
    return suspect;
  }

  /** Records that a suspect is no longer in flight. */
  public void end(Fingerprint fingerprint, EndpointId endpoint) {
    registry.suspectEnded(fingerprint, endpoint);
  }

  /** Handles the loss of a request's connection: records a crash if the endpoint has crashed. */
  public void connectionLost(Fingerprint fingerprint, Endpoint endpoint, String incarnation) {
    if (probe.hasCrashed(endpoint, incarnation)) {
      registry.recordCrash(fingerprint, endpoint.id());
    }
  }

  /** Clears the crash count of a request that was answered completely. */
  public void answered(Fingerprint fingerprint) {
    if (registry.crashes(fingerprint) > 0) {
      registry.lift(fingerprint);
    }
  }
}
