package org.magnoliavale.internal.route;

import java.time.Duration;

/** Source of the operator's configuration. */
public interface ConfigurationSource {
  /** Polls for a configuration newer than the last one found; blocks for a short, bounded time. */
  ConfigurationPollResult poll();

  /**
   * Polls for a configuration newer than the last one found; blocks for about {@code wait} if the
   * source can choose, else as {@link #poll()}.
   */
  default ConfigurationPollResult poll(Duration wait) {
    return poll();
  }

  /**
   * Returns whether a wait that goes on may no longer end with the next change, so that only {@link
   * #read()} finds it. May be called by other threads at the same time; does not block.
   */
  default boolean isWaitVoid() {
    return false;
  }

  /**
   * Reads the whole configuration without waiting for a change. Does not alter what {@link #poll()}
   * finds, and may be called by other threads at the same time.
   */
  default ConfigurationPollResult read() {
    return new ConfigurationPollResult.Unavailable("the source can only be polled");
  }
}
