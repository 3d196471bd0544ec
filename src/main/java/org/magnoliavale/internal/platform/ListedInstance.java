package org.magnoliavale.internal.platform;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * An instance as the platform's list shows it, which lags behind.
 *
 * @param id the instance's name
 * @param peerAddress its port for other instances, {@code address:port}
 * @param state {@code live} or {@code leaving}
 */
public record ListedInstance(String id, String peerAddress, String state) {
  /** Tells whether the platform is about to stop the instance. */
  @JsonIgnore
  public boolean isLeaving() {
    return "leaving".equals(state);
  }
}
