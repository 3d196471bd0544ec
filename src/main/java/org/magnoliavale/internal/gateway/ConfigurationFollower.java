package org.magnoliavale.internal.gateway;

import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.ConfigurationSource;
import org.magnoliavale.internal.route.RouteTable;

/** Keeps the newest configuration in force, on a thread of its own; never goes back. */
final class ConfigurationFollower {
  private static final Logger LOG = Logs.of("instance");
  private static final long RETRY_MS = 300;

  private final ConfigurationSource source;
  private volatile RouteTable routes;
  private volatile boolean stopped;

  ConfigurationFollower(ConfigurationSource source) {
    this.source = source;
  }

  /** Returns the configuration in force, null before the first one. */
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
      ConfigurationPollResult reading = source.poll();
      switch (reading) {
        case ConfigurationPollResult.Found(RouteTable found) -> install(found);
        case ConfigurationPollResult.Unchanged() -> {}
        case ConfigurationPollResult.Unavailable(String reason) -> {
          if (available) {
            LOG.infof("Configuration can't be read. reason=%s", reason);
          }
          pause();
        }
      }
      boolean reached = !(reading instanceof ConfigurationPollResult.Unavailable);
      if (reached && !available) {
        LOG.info("Configuration can be read again.");
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
        "Configuration in force. version=%d routes=%d services=%d",
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
