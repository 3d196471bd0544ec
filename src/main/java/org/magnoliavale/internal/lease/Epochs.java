package org.magnoliavale.internal.lease;

/**
 * Numbers of epochs. They are used as fencing tokens, so no number is used twice, and a later epoch
 * has a higher one, also when the table is restored from a copy and has lost the last epochs: the
 * generation of its contents is the upper part of the number.
 */
public final class Epochs {
  private static final int COUNTER_BITS = 24;
  private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

  private Epochs() {}

  /**
   * Returns the epoch after the stored one.
   *
   * @param stored the last epoch in the table; 0 if there is none
   * @param generation the generation of the table's contents
   */
  static long next(long stored, long generation) {
    long counter = (stored & COUNTER_MASK) + 1;
    return Math.max(stored + 1, (generation << COUNTER_BITS) + counter);
  }

  /** Returns whether an epoch is the first one, as far as the table knows. */
  public static boolean isFirst(long epoch) {
    return (epoch & COUNTER_MASK) == 1;
  }
}
