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

  @Override
  public String toString() {
    return startedAtMs == 0 ? id : id + SEPARATOR + startedAtMs;
  }
}
