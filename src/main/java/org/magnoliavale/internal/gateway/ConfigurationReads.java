package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.magnoliavale.Service;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.origin.ResumableStreams;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.tenant.CallerKeys;

/**
 * Follows the operator's configuration: waits for its changes, reads it besides that when peers are
 * ahead, and tells peers of the version in force and of keys that were taken away.
 */
final class ConfigurationReads implements Service, HeartbeatPart, ResumableStreams {
  private final KeyExchange keyExchange;
  private final ConfigurationPoller poller;
  private final ConfigurationCatchUp catchUp;

  private ConfigurationReads(
      KeyExchange keyExchange, ConfigurationPoller poller, ConfigurationCatchUp catchUp) {
    this.keyExchange = keyExchange;
    this.poller = poller;
    this.catchUp = catchUp;
  }

  /**
   * Returns reads that are not started yet.
   *
   * @param relayed whether heartbeats with a new version are passed on at once
   * @param announce sends heartbeats at once
   */
  static ConfigurationReads of(
      GatewaySettings settings,
      PlatformAdapters adapters,
      BooleanSupplier relayed,
      Runnable announce) {
    KeyExchange keyExchange = KeyExchange.of(settings, announce, System::nanoTime);
    ConfigurationPace pace = new ConfigurationPace(settings.tenants().strictRevocation());
    ConfigurationPoller poller =
        new ConfigurationPoller(
            adapters.configuration(),
            new ConfigurationAnnouncer(keyExchange, relayed, announce),
            () -> pace.nextWait(relayed.getAsBoolean(), System.nanoTime()));
    ConfigurationCatchUp catchUp =
        new ConfigurationCatchUp(
            poller, pace, relayed, Thread::startVirtualThread, System::nanoTime);
    return new ConfigurationReads(keyExchange, poller, catchUp);
  }

  @Override
  public void start() {
    poller.start();
  }

  @Override
  public void stop() {
    poller.stop();
  }

  /** Starts a read if one is due besides the wait. */
  void checkDue() {
    catchUp.checkDue();
  }

  /** Returns the check of callers' keys. */
  CallerKeys keys() {
    return keyExchange.keys();
  }

  /** Returns the current configuration, or null before the first one was read. */
  RouteTable routes() {
    return poller.routes();
  }

  /** Returns the engine of a service in the current configuration. */
  Optional<EngineSpecification> engine(ServiceId service) {
    return poller.engine(service);
  }

  @Override
  public boolean hasResumable(ServiceId service) {
    RouteTable current = routes();
    return current != null && current.hasResumable(service);
  }

  @Override
  public Duration longestResumable() {
    RouteTable current = routes();
    return current == null ? Duration.ZERO : current.longestResumable();
  }

  /** Returns the version of the current configuration, or 0 before the first one was read. */
  long version() {
    return poller.version();
  }

  /** Returns the maximum size of a caller's body, also before the first configuration was read. */
  int maximumBodyBytes() {
    return poller.maximumBodyBytes();
  }

  @Override
  public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
    keyExchange.addTo(heartbeat, nowNanos);
  }

  @Override
  public void apply(String peer, Heartbeat heartbeat, long nowNanos) {
    keyExchange.apply(peer, heartbeat, nowNanos);
    catchUp.heard(heartbeat.getConfigurationVersion(), nowNanos);
  }
}
