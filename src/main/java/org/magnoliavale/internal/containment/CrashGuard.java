package org.magnoliavale.internal.containment;

import java.util.Set;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.EndpointId;

/** Keeps requests that crash endpoints from being sent again and again. */
public final class CrashGuard {
  private final CrashRegistry registry;
  private final CrashProbe probe;

  /** Returns a guard over the fleet's counts. */
  public CrashGuard(CrashRegistry registry, CrashProbe probe) {
    this.registry = registry;
    this.probe = probe;
  }

  /**
   * Checks that a request may be sent once more.
   *
   * @throws MagnoliavaleException if it was in flight in too many crashes
   */
  public void checkMaySend(Fingerprint fingerprint) {
    int crashes = registry.crashes(fingerprint);
    if (crashes >= CrashRegistry.CRASH_LIMIT) {
      throw MagnoliavaleException.of(
          ErrorCode.REQUEST_CRASHES_ENDPOINTS,
          "the request was in flight in " + crashes + " crashes of endpoints and is stopped");
    }
  }

  /** Returns the endpoints that the request must not be sent to. */
  public Set<EndpointId> closedTo(Fingerprint fingerprint) {
    return registry.crashes(fingerprint) == 0 ? Set.of() : registry.endpointsWithSuspects();
  }

  /** Notes that a request is sent; only suspects are followed. */
  public boolean begin(Fingerprint fingerprint, EndpointId endpoint) {
    boolean suspect = registry.crashes(fingerprint) > 0;
    if (suspect) {
      registry.begin(fingerprint, endpoint);
    }
    return suspect;
  }

  /** Notes that a suspect that was sent is in flight no more. */
  public void end(Fingerprint fingerprint, EndpointId endpoint) {
    registry.end(fingerprint, endpoint);
  }

  /** Notes that a request's connection broke; counts a crash if the endpoint has crashed. */
  public void connectionLost(Fingerprint fingerprint, Endpoint endpoint, String incarnation) {
    if (probe.hasCrashed(endpoint, incarnation)) {
      registry.crashed(fingerprint, endpoint.id());
    }
  }

  /** Notes that a request was answered whole, and so is harmless. */
  public void answered(Fingerprint fingerprint) {
    if (registry.crashes(fingerprint) > 0) {
      registry.lift(fingerprint);
    }
  }
}
