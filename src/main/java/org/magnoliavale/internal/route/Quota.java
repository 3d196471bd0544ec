package org.magnoliavale.internal.route;

/**
 * How much a tenant may use of all instances together.
 *
 * @param unit what is counted
 * @param perSecond units per second
 * @param burst units that may be used at once in addition
 * @param unitsWithoutTokens what a request without a number of tokens counts for
 */
public record Quota(Unit unit, double perSecond, double burst, double unitsWithoutTokens) {
  /** What a quota counts. */
  public enum Unit {
    /** Requests; each counts as one. */
    REQUESTS,
    /** The tokens of prompts and the most tokens that may be generated. */
    TOKENS
  }
}
