package org.magnoliavale.internal.route;

/** Result of polling for a newer configuration. */
public sealed interface ConfigurationPollResult {
  /** A newer configuration was found. */
  record Found(RouteTable routes) implements ConfigurationPollResult {}

  /** There is no newer configuration. */
  record Unchanged() implements ConfigurationPollResult {}

  /** The configuration could not be read. */
  record Unavailable(String reason) implements ConfigurationPollResult {}
}
