package org.magnoliavale.internal.quota;

/**
 * This instance's demand as its peers know it: the last one that was announced long enough ago. All
 * instances then compute their shares from the same demand. Not thread-safe.
 */
final class AnnouncedDemand {
  private double known;
  private double announced;
  private long knownFromNanos;

  AnnouncedDemand(long nowNanos) {
    knownFromNanos = nowNanos;
  }

  /** Returns the demand that all peers know. */
  double known(long nowNanos) {
    if (nowNanos - knownFromNanos >= 0) {
      known = announced;
    }
    return known;
  }

  /** Returns the demand that peers are told now. */
  double announced() {
    return announced;
  }

  /**
   * Announces the present demand, unless the last one that was announced is still on its way.
   *
   * @param urgent whether peers hear of it at once, and it may replace one that is on its way
   * @param newsNanos time until all peers know it
   */
  void announce(double demand, boolean urgent, long newsNanos, long nowNanos) {
    boolean onItsWay = nowNanos - knownFromNanos < 0;
    known(nowNanos);
    if (urgent || !onItsWay) {
      announced = demand;
      knownFromNanos = nowNanos + newsNanos;
    }
  }
}
