package org.magnoliavale.internal.containment;

import java.util.Set;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Blocks requests that were in flight in too many endpoint crashes, and keeps suspects, which are
 * requests with a crash count, at different endpoints. Thread-safe.
 *
 * <p>Each {@link #begin} that returns true must be followed by one {@link #end}.
 */
public final class CrashGuard {
  private final CrashRegistry registry;
  private final CrashProbe probe;

  /** Creates a guard that reads and updates the counts in {@code registry}. */
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
   * Returns the endpoints that the request must not be sent to: for a suspect, those where a
   * suspect is in flight; for any other request, none.
   */
  public Set<EndpointId> excludedEndpoints(Fingerprint fingerprint) {
    return registry.crashes(fingerprint) == 0 ? Set.of() : registry.endpointsWithSuspects();
  }

  /** Records that a request is about to be sent, if it is a suspect; returns whether it is one. */
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

  /**
   * Handles the loss of a request's connection: probes the endpoint, and records a crash if it has
   * crashed. Blocks while probing.
   *
   * @param incarnation the incarnation that the request was sent to
   */
  public void connectionLost(Fingerprint fingerprint, Endpoint endpoint, String incarnation) {
    if (probe.hasCrashed(endpoint, incarnation)) {
      registry.recordCrash(fingerprint, endpoint.id() + "@" + incarnation);
    }
  }

  /** Clears the crash count of a request that was answered completely. */
  public void answered(Fingerprint fingerprint) {
    if (registry.crashes(fingerprint) > 0) {
      registry.lift(fingerprint);
    }
  }
}
