package org.magnoliavale.internal.directory;

/**
 * One incarnation of an endpoint.
 *
 * @param id its name, which a restart may keep
 * @param bornMs start of the incarnation, Unix milliseconds; 0 if it is not told
 */
public record EndpointIdentity(String id, long bornMs) {
  @Override
  public String toString() {
    return bornMs == 0 ? id : id + "@" + bornMs;
  }
}
