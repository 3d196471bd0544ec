package org.magnoliavale.internal.limit;

import java.util.Set;

/**
 * The instances that share endpoints and quotas, as one of them sees them.
 *
 * @param self name of this instance
 * @param peers names of the other instances that it hears
 * @param silentInstances number of instances that are listed, but that it does not hear
 * @param listed whether it has read the list of instances
 * @param newsNanos time after which all that hear an instance know what it said
 */
public record FleetView(
    String self, Set<String> peers, int silentInstances, boolean listed, long newsNanos) {
  /** Copies the set. */
  public FleetView {
    peers = Set.copyOf(peers);
  }

  /** Returns the view of an instance that is the only one. */
  public static FleetView ofSingleInstance() {
    return new FleetView("", Set.of(), 0, true, 0);
  }

  /** Returns the number of instances, including this one. */
  public int size() {
    return 1 + peers.size() + silentInstances;
  }
}
