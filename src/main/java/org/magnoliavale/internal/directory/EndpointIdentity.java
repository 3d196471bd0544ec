package org.magnoliavale.internal.directory;

/**
 * Identity of one incarnation of an endpoint.
 *
 * @param id the endpoint's name, which may stay the same across restarts
 * @param startedAtMs start time of the incarnation in Unix milliseconds; 0 if not reported
 */
public record EndpointIdentity(String id, long startedAtMs) {
  private static final char SEPARATOR = '@';

  /**
   * Parses the text that {@link #toString} returns.
   *
   * @throws NumberFormatException if the start time is not a number
   */
  public static EndpointIdentity parse(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    if (separator < 0) {
      return new EndpointIdentity(text, 0);
    }
    return new EndpointIdentity(
        text.substring(0, separator), Long.parseLong(text.substring(separator + 1)));
  }

  // Written out, since instances compare identities all the time, and the method of a record is
  // linked at its first call and costs several times as much.
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointIdentity identity
        && startedAtMs == identity.startedAtMs
        && id.equals(identity.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(startedAtMs);
  }

  @Override
  public String toString() {
    return startedAtMs == 0 ? id : id + SEPARATOR + startedAtMs;
  }
}
