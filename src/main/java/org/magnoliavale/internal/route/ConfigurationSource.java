package org.magnoliavale.internal.route;

/** Where the operator's configuration comes from. */
public interface ConfigurationSource {
  /** Waits a short time for a configuration newer than the last one that was found. */
  ConfigurationReading poll();
}
