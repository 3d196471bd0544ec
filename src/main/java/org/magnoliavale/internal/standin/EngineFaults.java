package org.magnoliavale.internal.standin;

/**
 * Injected faults of an engine stand-in; a POST to {@code /stand-in/faults} replaces all of them.
 *
 * @param crash whether the engine crashes immediately and restarts with empty memory
 * @param silence whether the connections that are open now stop responding permanently
 * @param slowdown factor by which the duration of a generation step is multiplied; 1 for none
 * @param loseOrders number of next commands that are dropped without a response
 * @param lateOrderMs delay after which commands take effect, in milliseconds; if above 0, they get
 *     no response
 * @param cutAnswers number of next responses that are truncated halfway
 * @param foreignAnswers number of next responses that carry the id of another attempt
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

  /** Replaces a slowdown that is absent from the JSON, and so 0, by 1. */
  public EngineFaults {
    slowdown = slowdown <= 0 ? 1 : slowdown;
  }
}
