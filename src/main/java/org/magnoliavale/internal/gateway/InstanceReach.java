package org.magnoliavale.internal.gateway;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliavale.internal.call.EndpointProbe;
import org.magnoliavale.internal.call.PeerCalls;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.reach.EndpointReach;
import org.magnoliavale.internal.residency.EndpointControl;

/**
 * The parts of an instance that find out whether it reaches endpoints, and that pass its calls to
 * peers while it doesn't. {@link #initialize} must be called before any other method but {@link
 * #connected} and {@link #probe}.
 */
final class InstanceReach {
  private final EndpointReach reach = new EndpointReach();
  private PeerForwarding peers;
  private ReachMonitor monitor;

  /**
   * Creates the parts.
   *
   * @param callerAddress the address at which this instance takes calls
   */
  void initialize(
      GatewaySettings settings,
      EndpointPool endpoints,
      EndpointControl control,
      Executor executor,
      InstanceRegistry registry,
      Supplier<String> callerAddress) {
    peers =
        new PeerForwarding(
            settings,
            reach,
            callerAddress,
            registry::lastInstances,
            new Random(),
            System::nanoTime);
    monitor =
        new ReachMonitor(
            reach, peers, endpoints, control, executor, new Random(), System::nanoTime);
  }

  /** Records that something has accepted a connection of calls. */
  void connected(InetSocketAddress address) {
    reach.connected(address, System.nanoTime());
  }

  /** Returns what passes calls to peers. */
  PeerCalls calls() {
    return peers;
  }

  /** Returns the part of heartbeats that says where calls are taken. */
  HeartbeatPart heartbeatPart() {
    return peers;
  }

  /** Records the endpoints that there are. */
  void endpointsListed(Collection<DirectoryEntry> entries) {
    monitor.endpointsListed(entries);
  }

  /** Returns a probe whose listener isn't told of endpoints that may only be out of reach. */
  EndpointProbe probe(
      Executor executor, EndpointControl control, BackgroundEndpointProbe.Listener listener) {
    return new BackgroundEndpointProbe(
        executor,
        control,
        System::nanoTime,
        (endpoint, nowNanos) -> {
          if (!reach.isDoubtful()) {
            listener.endpointDown(endpoint, nowNanos);
          }
        });
  }

  /**
   * Decides anew whether this instance reaches endpoints.
   *
   * @param onChange is told whether this instance is cut off from endpoints, when that changes
   */
  void tick(Consumer<Boolean> onChange) {
    monitor.tick(onChange);
  }
}
