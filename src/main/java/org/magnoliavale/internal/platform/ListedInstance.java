package org.magnoliavale.internal.platform;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * An entry of the platform's instance list, which lags behind the actual state.
 *
 * @param id name of the instance
 * @param peerAddress address for links from other instances, as {@code address:port}
 * @param state {@code live} or {@code leaving}
 */
public record ListedInstance(String id, String peerAddress, String state) {
  /** Returns whether the platform is about to stop the instance. */
  @JsonIgnore
  public boolean isLeaving() {
    return "leaving".equals(state);
  }
}
