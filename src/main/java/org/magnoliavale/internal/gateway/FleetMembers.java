package org.magnoliavale.internal.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.link.PeerLinks;
import org.magnoliavale.internal.platform.ListedInstance;

/** Combines who is heard on the links and who is listed to one view of the fleet. */
final class FleetMembers {
  /** Time between two heartbeats of an instance, and some for the way. */
  private static final long NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

  /** Time between two heartbeats that relays pass on, and some for the way. */
  private static final long RELAYED_NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(2_600);

  private FleetMembers() {}

  /**
   * Returns the view of the fleet.
   *
   * @param self name of this instance
   * @param peers the peers that are heard
   * @param listed the last list of instances; empty before the first one was read
   */
  static FleetView view(String self, Set<String> peers, Optional<List<ListedInstance>> listed) {
    Set<String> silent =
        listed.stream()
            .flatMap(List::stream)
            .map(ListedInstance::id)
            .collect(Collectors.toCollection(HashSet::new));
    silent.removeAll(peers);
    silent.remove(self);
    boolean mesh = PeerLinks.isMesh(1 + peers.size() + silent.size());
    return new FleetView(
        self, peers, silent.size(), listed.isPresent(), mesh ? NEWS_NANOS : RELAYED_NEWS_NANOS);
  }
}
