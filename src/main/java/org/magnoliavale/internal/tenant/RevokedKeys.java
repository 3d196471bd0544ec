package org.magnoliavale.internal.tenant;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.collection.BoundedMap;

/**
 * Keys that were taken away: those that this instance has seen disappear, to tell its peers, and
 * those that peers have told it and its own configuration still has. Thread-safe.
 */
final class RevokedKeys {
  private static final int MAXIMUM_LEARNED = 1_024;

  private final BoundedMap<KeyFingerprint, Long> seen =
      BoundedMap.evictingEldest(ConfigurationStatement.MAXIMUM_REVOCATIONS);
  private final BoundedMap<KeyFingerprint, Long> learned =
      BoundedMap.evictingEldest(MAXIMUM_LEARNED);

  /** Copy of {@link #learned} that is read without a lock. */
  private volatile Map<KeyFingerprint, Long> inForce = Map.of();

  /**
   * Records that this instance applies a version.
   *
   * @param removed keys that the version before had
   * @param present keys that the version has; of earlier ones that were taken away, they are back
   */
  synchronized void applied(
      long version, Set<KeyFingerprint> removed, Set<KeyFingerprint> present) {
    learned.values().removeIf(since -> since <= version);
    inForce = Map.copyOf(learned);
    seen.keySet().removeAll(present);
    removed.forEach(key -> seen.put(key, version));
  }

  /** Records what a peer has seen; returns whether any of it is new. */
  synchronized boolean learn(Collection<Revocation> revocations, long ownVersion) {
    boolean news = false;
    for (Revocation revocation : revocations) {
      long known = learned.getOrDefault(revocation.key(), ownVersion);
      if (revocation.version() > known) {
        learned.put(revocation.key(), revocation.version());
        news = true;
      }
    }
    if (news) {
      inForce = Map.copyOf(learned);
    }
    return news;
  }

  /** Returns whether there is no key to check for. */
  boolean isEmpty() {
    return inForce.isEmpty();
  }

  /** Returns whether a key of this version of the configuration was taken away by a newer one. */
  boolean includes(KeyFingerprint key, long version) {
    Long since = inForce.get(key);
    return since != null && since > version;
  }

  /** Returns the keys that this instance has seen being taken away by versions after this one. */
  synchronized List<Revocation> seenAfter(long version) {
    return seen.entrySet().stream()
        .filter(entry -> entry.getValue() > version)
        .map(entry -> new Revocation(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Forgets the keys that peers are told of. */
  synchronized void forgetSeen() {
    seen.clear();
  }

  /** Returns whether any key is remembered for peers. */
  synchronized boolean hasSeen() {
    return !seen.isEmpty();
  }
}
