package org.magnoliavale.internal.standin;

/**
 * Injected faults of the platform stand-in; a POST to {@code /stand-in/faults} replaces all of
 * them.
 *
 * @param down whether the table responds to every call with 503
 * @param delayMs delay before each table call takes effect, in milliseconds
 * @param loseAnswers number of next commits that are executed without a response
 */
public record PlatformFaults(boolean down, long delayMs, int loseAnswers) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);
}
