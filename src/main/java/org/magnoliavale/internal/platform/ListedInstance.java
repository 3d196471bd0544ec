package org.magnoliavale.internal.platform;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * An entry of the platform's instance list, which lags behind the actual state.
 *
 * @param id name of the instance
 * @param peerAddress address for links from other instances, as {@code address:port}
 * @param state {@code live} or {@code leaving}
 * @param dataCentre data centre of the instance; empty if unknown
 * @param processorPercent processor time that the instance may use, in percent of a core; 0 if
 *     unknown
 */
public record ListedInstance(
    String id, String peerAddress, String state, String dataCentre, int processorPercent) {
  /** Creates an entry; a missing data centre, as in rows of older instances, becomes empty. */
  public ListedInstance {
    dataCentre = dataCentre == null ? "" : dataCentre;
  }

  /** Returns the entry of an instance that does not say what it may use. */
  public ListedInstance(String id, String peerAddress, String state, String dataCentre) {
    this(id, peerAddress, state, dataCentre, 0);
  }

  /** Returns the entry of an instance that is not about to be stopped. */
  public static ListedInstance live(
      String id, String peerAddress, String dataCentre, int processorPercent) {
    return new ListedInstance(id, peerAddress, "live", dataCentre, processorPercent);
  }

  /** Returns whether the platform is about to stop the instance. */
  @JsonIgnore
  public boolean isLeaving() {
    return "leaving".equals(state);
  }
}
