package org.magnoliavale.internal.gateway;

import java.util.Collection;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliavale.Service;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectorySource;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.route.RouteTable;

/**
 * Reads the endpoint directory at a pace that follows what the holder of the command lease says of
 * its own reads, and says so to peers if this instance is the holder.
 */
final class DirectoryReads implements Service, HeartbeatPart {
  private final BooleanSupplier leaseHeld;
  private final Supplier<RouteTable> routes;
  private final DirectoryPace pace;
  private final DirectoryPoller poller;
  private final PlainEndpointAppearances appearances =
      new PlainEndpointAppearances(this::hasEngine);

  /**
   * Returns reads that are not started yet.
   *
   * @param departures records the endpoints that leave the directory
   * @param pace decides how often the directory is read
   * @param leaseHeld whether this instance holds the command lease
   * @param routes the current configuration, null before the first one
   * @param listener receives the entries after each successful read, and when kept ones are removed
   */
  DirectoryReads(
      DirectorySource source,
      EndpointDepartures departures,
      DirectoryPace pace,
      BooleanSupplier leaseHeld,
      Supplier<RouteTable> routes,
      Consumer<Collection<DirectoryEntry>> listener,
      LongSupplier nanoClock) {
    this.leaseHeld = leaseHeld;
    this.routes = routes;
    this.pace = pace;
    Consumer<Collection<DirectoryEntry>> counted =
        entries -> {
          appearances.update(entries);
          listener.accept(entries);
        };
    poller = new DirectoryPoller(source, departures, pace, counted, nanoClock);
  }

  private boolean hasEngine(ServiceId service) {
    RouteTable current = routes.get();
    return current != null && current.hasEngine(service);
  }

  @Override
  public void start() {
    poller.start();
  }

  @Override
  public void stop() {
    poller.stop();
  }

  /** Returns whether the directory has been read at least once. */
  boolean isLoaded() {
    return poller.isLoaded();
  }

  /** Begins the next read if it is due by now. */
  void checkDue() {
    poller.checkDue();
  }

  @Override
  public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
    if (leaseHeld.getAsBoolean()) {
      heartbeat.setPlainEndpointAppearances(appearances.count());
    }
  }

  @Override
  public void apply(String peer, Heartbeat heartbeat, long nowNanos) {
    if (heartbeat.getGivesOrders() && !heartbeat.getLeaving()) {
      boolean reads = heartbeat.getDirectoryReadMs() > 0;
      pace.holderHeard(peer, reads, heartbeat.getPlainEndpointAppearances(), nowNanos);
    }
  }
}
