package org.magnoliavale.internal.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.reach.EndpointReach;
import org.magnoliavale.internal.residency.EndpointControl;

/**
 * Follows whether this instance reaches endpoints, and probes some while that is in doubt. {@link
 * #tick} is called by one thread; the other methods may be called by any.
 */
final class ReachMonitor {
  private static final Logger LOG = Logs.of("instance");
  private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final EndpointReach reach;
  private final PeerForwarding peers;
  private final EndpointPool endpoints;
  private final EndpointControl control;
  private final Executor executor;
  private final RandomGenerator random;
  private final LongSupplier nanoClock;
  private volatile List<DirectoryEntry> listed = List.of();
  private long lastProbeNanos = Long.MIN_VALUE / 2;

  ReachMonitor(
      EndpointReach reach,
      PeerForwarding peers,
      EndpointPool endpoints,
      EndpointControl control,
      Executor executor,
      RandomGenerator random,
      LongSupplier nanoClock) {
    this.reach = reach;
    this.peers = peers;
    this.endpoints = endpoints;
    this.control = control;
    this.executor = executor;
    this.random = random;
    this.nanoClock = nanoClock;
  }

  /** Records the endpoints that there are. */
  void endpointsListed(Collection<DirectoryEntry> entries) {
    listed = new ArrayList<>(entries);
    reach.endpointsListed(entries);
  }

  /**
   * Decides anew whether this instance reaches endpoints, and probes one if it doesn't.
   *
   * @param onChange is told whether this instance is cut off from endpoints, when that changes
   */
  void tick(Consumer<Boolean> onChange) {
    long now = nanoClock.getAsLong();
    if (peers.update(() -> endpoints.unresponsiveCount(now))) {
      boolean cutOff = reach.isCutOff();
      LOG.infof(
          cutOff ? "Cut off from endpoints. listed=%d" : "Endpoints are reached again. listed=%d",
          listed.size());
      onChange.accept(cutOff);
    }
    if (reach.needsProbe() && now - lastProbeNanos >= PROBE_INTERVAL_NANOS) {
      lastProbeNanos = now;
      probe();
    }
  }

  /** Probes an endpoint, one that has not failed if there is one. */
  private void probe() {
    List<DirectoryEntry> sound =
        listed.stream().filter(entry -> !reach.hasFailed(entry.identity())).toList();
    List<DirectoryEntry> entries = sound.isEmpty() ? listed : sound;
    if (!entries.isEmpty()) {
      DirectoryEntry entry = entries.get(random.nextInt(entries.size()));
      executor.execute(() -> probe(entry));
    }
  }

  private void probe(DirectoryEntry entry) {
    boolean answered = control.isReachable(entry);
    reach.probed(entry.identity(), answered, nanoClock.getAsLong());
  }
}
