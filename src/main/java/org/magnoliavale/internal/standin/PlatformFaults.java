package org.magnoliavale.internal.standin;

/**
 * Faults of the platform stand-in; a POST to {@code /stand-in/faults} replaces them all.
 *
 * @param down whether the table answers nothing but 503
 * @param delayMs delay before each table call takes effect, in milliseconds
 * @param loseAnswers how many of the next commits take effect but lose their answer
 */
public record PlatformFaults(boolean down, long delayMs, int loseAnswers) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);
}
