package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.ConfigurationSource;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;

/**
 * Polls the configuration source on a virtual thread of its own and publishes the newest version.
 * Versions older than the current one are ignored. Further threads may read at the same time.
 */
final class ConfigurationPoller {
  private static final Logger LOG = Logs.of("instance");
  private static final long RETRY_DELAY_MS = 300;
  private static final int DEFAULT_MAXIMUM_BODY_BYTES = 4 << 20;

  private final ConfigurationSource source;
  private final ConfigurationListener listener;
  private final Supplier<Optional<Duration>> waits;
  private volatile RouteTable routes;
  private volatile boolean stopped;

  ConfigurationPoller(ConfigurationSource source) {
    this(source, ConfigurationListener.NONE);
  }

  ConfigurationPoller(ConfigurationSource source, ConfigurationListener listener) {
    this(source, listener, Optional::empty);
  }

  /**
   * Creates a poller.
   *
   * @param waits returns how long the next poll waits, or nothing for the usual wait of the source
   */
  ConfigurationPoller(
      ConfigurationSource source,
      ConfigurationListener listener,
      Supplier<Optional<Duration>> waits) {
    this.source = source;
    this.listener = listener;
    this.waits = waits;
  }

  /** Returns the current configuration, or null before the first one was read. */
  RouteTable routes() {
    return routes;
  }

  /** Returns the version of the current configuration, or 0 before the first one was read. */
  long version() {
    RouteTable current = routes;
    return current == null ? 0 : current.version();
  }

  /** Returns the engines of a service; empty if it has none, or before the first configuration. */
  Optional<EngineSpecification> engine(ServiceId service) {
    return Optional.ofNullable(routes)
        .flatMap(current -> current.service(service))
        .flatMap(ServiceSpecification::engine);
  }

  /** Returns the maximum size of a caller's body, also before the first configuration was read. */
  int maximumBodyBytes() {
    RouteTable current = routes;
    return current == null ? DEFAULT_MAXIMUM_BODY_BYTES : current.maximumBodyBytes();
  }

  void start() {
    Thread.ofVirtual().name("configuration").start(this::pollLoop);
  }

  void stop() {
    stopped = true;
  }

  private void pollLoop() {
    boolean available = true;
    while (!stopped) {
      ConfigurationPollResult result = pollOnce();
      boolean readable = !(result instanceof ConfigurationPollResult.Unavailable);
      if (readable && !available) {
        LOG.info("Configuration available again.");
      }
      if (result instanceof ConfigurationPollResult.Unavailable(String reason)) {
        if (available) {
          LOG.infof("Configuration unavailable. reason=%s", reason);
        }
        sleepBeforeRetry();
      }
      available = readable;
    }
  }

  /** Polls the source and applies a newer configuration. */
  ConfigurationPollResult pollOnce() {
    return applyFrom(this::pollSource);
  }

  /** Reads the source without waiting and applies a newer configuration. */
  ConfigurationPollResult readOnce() {
    return applyFrom(source::read);
  }

  /** Returns whether a poll that goes on may no longer end with the next change. */
  boolean isWaitVoid() {
    return source.isWaitVoid();
  }

  private ConfigurationPollResult pollSource() {
    Optional<Duration> wait = waits.get();
    return wait.isPresent() ? source.poll(wait.get()) : source.poll();
  }

  private ConfigurationPollResult applyFrom(Supplier<ConfigurationPollResult> request) {
    try {
      ConfigurationPollResult result = request.get();
      switch (result) {
        case ConfigurationPollResult.Found(RouteTable newRoutes) -> {
          install(newRoutes);
          listener.configurationRead();
        }
        case ConfigurationPollResult.Unchanged() -> listener.configurationRead();
        case ConfigurationPollResult.Unavailable(String ignored) -> {}
      }
      return result;
    } catch (RuntimeException | Error e) {
      LOG.errorf(e, "Configuration could not be read.");
      return new ConfigurationPollResult.Unavailable(e.toString());
    }
  }

  private synchronized void install(RouteTable newRoutes) {
    RouteTable current = routes;
    if (current != null && newRoutes.version() <= current.version()) {
      return;
    }
    routes = newRoutes;
    listener.configurationApplied(Optional.ofNullable(current), newRoutes);
    LOG.infof(
        "Configuration applied. version=%d routes=%d services=%d",
        newRoutes.version(), newRoutes.size(), newRoutes.services().size());
  }

  private void sleepBeforeRetry() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }
}
