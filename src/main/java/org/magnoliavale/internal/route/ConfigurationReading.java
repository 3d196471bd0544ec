package org.magnoliavale.internal.route;

/** What became of looking for a newer configuration. */
public sealed interface ConfigurationReading {
  /** There is this configuration. */
  record Found(RouteTable routes) implements ConfigurationReading {}

  /** Nothing has changed. */
  record Unchanged() implements ConfigurationReading {}

  /** The configuration can't be read now. */
  record Unavailable(String reason) implements ConfigurationReading {}
}
