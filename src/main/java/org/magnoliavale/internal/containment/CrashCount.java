package org.magnoliavale.internal.containment;

import java.util.Set;

/**
 * The crashes of a request or prompt segment that one instance has observed, as sent to the others.
 *
 * @param fingerprint the request or segment
 * @param crashes the crashed incarnations of endpoints where it was in flight
 * @param ageMs time since the last crash, or since the count was lifted, in milliseconds
 * @param lifted whether the count was lifted, after a complete response or by an operator
 */
public record CrashCount(Fingerprint fingerprint, Set<String> crashes, long ageMs, boolean lifted) {
  /** Copies the set. */
  public CrashCount {
    crashes = Set.copyOf(crashes);
  }
}
