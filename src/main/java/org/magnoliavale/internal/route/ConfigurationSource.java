package org.magnoliavale.internal.route;

/** Source of the operator's configuration. */
public interface ConfigurationSource {
  /** Polls for a configuration newer than the last one found; blocks for a short, bounded time. */
  ConfigurationPollResult poll();
}
