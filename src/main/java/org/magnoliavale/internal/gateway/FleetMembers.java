package org.magnoliavale.internal.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.link.PeerLinks;
import org.magnoliavale.internal.platform.ListedInstance;

/**
 * The fleet as this instance sees it: who is heard on the links, and who is only listed.
 *
 * @param self name of this instance
 * @param membership the peers that are heard
 * @param listed the last list of instances; empty before the first one was read
 */
record FleetMembers(
    String self, Membership membership, Supplier<Optional<List<ListedInstance>>> listed) {
  /** Time between two heartbeats of an instance, and some for the way. */
  private static final long NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

  /** Time between two heartbeats that relays pass on, and some for the way. */
  private static final long RELAYED_NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(2_600);

  /** Returns the view of the fleet at a time. */
  FleetView view(long nowNanos) {
    Set<String> peers = membership.peers(nowNanos);
    Optional<List<ListedInstance>> instances = listed.get();
    Set<String> silent =
        instances.stream()
            .flatMap(List::stream)
            .map(ListedInstance::id)
            .collect(Collectors.toCollection(HashSet::new));
    silent.removeAll(peers);
    silent.remove(self);
    boolean mesh = PeerLinks.isMesh(1 + peers.size() + silent.size());
    return new FleetView(
        self, peers, silent.size(), instances.isPresent(), mesh ? NEWS_NANOS : RELAYED_NEWS_NANOS);
  }
}
