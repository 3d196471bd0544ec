package org.magnoliavale.internal.route;

/** Result of polling for a newer configuration. */
public sealed interface ConfigurationReading {
  /** A newer configuration was found. */
  record Found(RouteTable routes) implements ConfigurationReading {}

  /** There is no newer configuration. */
  record Unchanged() implements ConfigurationReading {}

  /** The configuration could not be read. */
  record Unavailable(String reason) implements ConfigurationReading {}
}
