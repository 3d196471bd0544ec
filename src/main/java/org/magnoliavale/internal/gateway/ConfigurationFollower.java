package org.magnoliavale.internal.gateway;

import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.ConfigurationReading;
import org.magnoliavale.internal.route.ConfigurationSource;
import org.magnoliavale.internal.route.RouteTable;

/**
 * Polls the configuration source on a virtual thread of its own and publishes the newest version.
 * Versions older than the current one are ignored.
 */
final class ConfigurationFollower {
  private static final Logger LOG = Logs.of("instance");
  private static final long RETRY_MS = 300;

  private final ConfigurationSource source;
  private volatile RouteTable routes;
  private volatile boolean stopped;

  ConfigurationFollower(ConfigurationSource source) {
    this.source = source;
  }

  /** Returns the current configuration, or null before the first one was read. */
  RouteTable routes() {
    return routes;
  }

  void start() {
    Thread.ofVirtual().name("configuration").start(this::follow);
  }

  void stop() {
    stopped = true;
  }

  private void follow() {
    boolean available = true;
    while (!stopped) {
      ConfigurationReading reading = source.poll();
      switch (reading) {
        case ConfigurationReading.Found(RouteTable found) -> install(found);
        case ConfigurationReading.Unchanged() -> {}
        case ConfigurationReading.Unavailable(String reason) -> {
          if (available) {
            LOG.infof("Configuration unavailable. reason=%s", reason);
          }
          pause();
        }
      }
      boolean reached = !(reading instanceof ConfigurationReading.Unavailable);
      if (reached && !available) {
        LOG.info("Configuration available again.");
      }
      available = reached;
    }
  }

  private void install(RouteTable found) {
    RouteTable current = routes;
    if (current != null && found.version() <= current.version()) {
      return;
    }
    routes = found;
    LOG.infof(
        "Configuration applied. version=%d routes=%d services=%d",
        found.version(), found.size(), found.services().size());
  }

  private void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }
}
