package org.magnoliavale.internal.containment;

import java.util.ArrayList;
import java.util.List;

/**
 * What is suspected when an endpoint crashes with a request in flight: the request itself, which
 * may be sent again, and the segments of its prompt that other requests have, too.
 *
 * @param request fingerprint of the request's path and body
 * @param segments fingerprints of the prompt segments that other requests may share
 */
public record CrashKeys(Fingerprint request, List<Fingerprint> segments) {
  /** Copies the list. */
  public CrashKeys {
    segments = List.copyOf(segments);
  }

  /** Returns all keys. */
  public List<Fingerprint> all() {
    List<Fingerprint> all = new ArrayList<>(segments);
    all.add(request);
    return all;
  }
}
