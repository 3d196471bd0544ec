package org.magnoliavale.internal.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.magnoliavale.internal.route.RouteTable;

/**
 * Tells peers of each new version of the configuration at once where relays pass it on.
 *
 * @param first hears of each read before
 * @param relayed whether heartbeats with a new version are passed on at once
 * @param announce sends heartbeats at once
 */
record ConfigurationAnnouncer(
    ConfigurationListener first, BooleanSupplier relayed, Runnable announce)
    implements ConfigurationListener {
  @Override
  public void configurationRead() {
    first.configurationRead();
  }

  @Override
  public void configurationApplied(Optional<RouteTable> before, RouteTable applied) {
    first.configurationApplied(before, applied);
    if (before.isPresent() && relayed.getAsBoolean()) {
      announce.run();
    }
  }
}
