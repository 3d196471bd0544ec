package org.magnoliavale.internal.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * Counts the endpoints without an engine that appear in the directory. They can take calls at once,
 * unlike an engine, which begins empty. Thread-safe.
 */
final class PlainEndpointAppearances {
  private final Predicate<ServiceId> hasEngine;
  private Set<EndpointIdentity> known = Set.of();
  private volatile long count;

  /** Returns a count; {@code hasEngine} tells the services whose endpoints run engines. */
  PlainEndpointAppearances(Predicate<ServiceId> hasEngine) {
    this.hasEngine = hasEngine;
  }

  /** Applies a read of the directory. */
  synchronized void update(Collection<DirectoryEntry> entries) {
    Set<EndpointIdentity> listed =
        entries.stream()
            .filter(entry -> !hasEngine.test(entry.service()))
            .map(DirectoryEntry::identity)
            .collect(Collectors.toSet());
    Set<EndpointIdentity> appeared = new HashSet<>(listed);
    appeared.removeAll(known);
    count += appeared.size();
    known = listed;
  }

  long count() {
    return count;
  }
}
