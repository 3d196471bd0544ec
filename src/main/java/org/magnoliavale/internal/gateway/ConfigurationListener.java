package org.magnoliavale.internal.gateway;

import java.util.Optional;
import org.magnoliavale.internal.route.RouteTable;

/** Hears of reads of the operator's configuration. */
interface ConfigurationListener {
  /** Does nothing. */
  ConfigurationListener NONE =
      new ConfigurationListener() {
        @Override
        public void configurationRead() {}

        @Override
        public void configurationApplied(Optional<RouteTable> before, RouteTable applied) {}
      };

  /** The configuration was read; the newest version is applied. */
  void configurationRead();

  /**
   * A version is applied.
   *
   * @param before the version before; empty for the first one
   */
  void configurationApplied(Optional<RouteTable> before, RouteTable applied);
}
