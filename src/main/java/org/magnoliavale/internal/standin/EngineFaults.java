package org.magnoliavale.internal.standin;

/**
 * Faults of an engine stand-in; a POST to {@code /stand-in/faults} replaces them all.
 *
 * @param crash whether the engine crashes now and restarts with empty memory
 * @param silence whether every connection open now goes silent for good
 * @param slowdown factor by which generation is slower; 1 for none
 * @param loseOrders how many of the next orders are lost without an answer
 * @param lateOrderMs orders take effect so much later and their answers are lost, in milliseconds
 * @param cutAnswers how many of the next answers are cut off in the middle
 * @param foreignAnswers how many of the next answers carry another attempt's id
 */
public record EngineFaults(
    boolean crash,
    boolean silence,
    double slowdown,
    int loseOrders,
    long lateOrderMs,
    int cutAnswers,
    int foreignAnswers) {
  /** No faults. */
  public static final EngineFaults NONE = new EngineFaults(false, false, 1, 0, 0, 0, 0);

  /** Reads an absent slowdown as none. */
  public EngineFaults {
    slowdown = slowdown <= 0 ? 1 : slowdown;
  }
}
