package org.magnoliavale.internal.directory;

/**
 * Identity of one incarnation of an endpoint.
 *
 * @param id the endpoint's name, which may stay the same across restarts
 * @param bornMs start time of the incarnation in Unix milliseconds; 0 if not reported
 */
public record EndpointIdentity(String id, long bornMs) {
  @Override
  public String toString() {
    return bornMs == 0 ? id : id + "@" + bornMs;
  }
}
