package org.magnoliavale.internal.directory;

/**
 * Identity of one incarnation of an endpoint.
 *
 * @param id the endpoint's name, which may stay the same across restarts
 * @param startedAtMs start time of the incarnation in Unix milliseconds; 0 if not reported
 */
public record EndpointIdentity(String id, long startedAtMs) {
  @Override
  public String toString() {
    return startedAtMs == 0 ? id : id + "@" + startedAtMs;
  }
}
