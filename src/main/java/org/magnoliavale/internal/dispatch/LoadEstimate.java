package org.magnoliavale.internal.dispatch;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The requests at one endpoint, estimated from its newest report to any instance and from what this
 * instance has sent and ended since. Not thread-safe.
 *
 * <p>What the other instances have sent and ended since the report is not known. It is taken to
 * bring the number of their requests back to its mean, over the time that a request stays at an
 * endpoint: after that time all of the reported requests have ended, and others were sent at the
 * usual rate. In the same way the prompts that were waiting are read, and others come.
 *
 * <p>All instances see the room that a report shows, at about the same time. Each may take its
 * share of it until the next report, rounded up or down by chance.
 */
final class LoadEstimate {
  /** Age after which a reported load is ignored. */
  static final long VALIDITY_MS = 2_000;

  /** Age up to which a reported load is certain enough to turn requests away. */
  static final long CERTAINTY_MS = 1_500;

  /** Age up to which a slowdown is used; it changes many times a second. */
  static final long SLOWDOWN_VALIDITY_MS = 300;

  /** Differences in age up to which two reports count as the same; links round ages. */
  private static final long SAME_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final double MINIMUM_SLOWDOWN = 0.5;
  private static final double MAXIMUM_SLOWDOWN = 4;
  private static final double SMOOTHING = 0.1;

  /** Room that all instances together may take until the next report; some of it comes free. */
  private static final double CLAIMED_SHARE = 1.5;

  /** Requests that each instance may send until the next report if at least half is free. */
  private static final int CLAIM_WITH_MUCH_ROOM = 2;

  private final long seed;
  private ReportedLoad report;
  private long reportNanos;
  private boolean heardHere;
  private double others;
  private double othersWaiting;
  private double othersMean;
  private double othersWaitingMean;
  private int total;

  /**
   * Returns an estimate without a report.
   *
   * @param seed of the random rounding of shares
   */
  LoadEstimate(long seed) {
    this.seed = seed;
  }

  /** Applies a report to this instance. */
  void heard(ReportedLoad load, OutstandingRequests own, long nowNanos) {
    apply(load, own, nowNanos);
    heardHere = true;
  }

  /** Applies a report to a peer if it is newer than the known one; returns whether it is. */
  boolean learned(ReportedLoad load, OutstandingRequests own, long nanos) {
    if (report != null && nanos - reportNanos <= SAME_REPORT_NANOS) {
      return false;
    }
    apply(load, own, nanos);
    heardHere = false;
    return true;
  }

  private void apply(ReportedLoad load, OutstandingRequests own, long nanos) {
    boolean first = report == null;
    report = load;
    reportNanos = nanos;
    total = load.running() + load.waiting();
    others = Math.max(0, total - own.sizeAt(nanos));
    othersWaiting = Math.clamp(load.waiting() - own.unreadRequests(), 0, others);
    othersMean = first ? others : othersMean + SMOOTHING * (others - othersMean);
    othersWaitingMean =
        first ? othersWaiting : othersWaitingMean + SMOOTHING * (othersWaiting - othersWaitingMean);
  }

  /** Returns the newest report; null if there is none. */
  ReportedLoad report() {
    return report;
  }

  long reportNanos() {
    return reportNanos;
  }

  /** Returns whether the newest report was made to this instance. */
  boolean isHeardHere() {
    return heardHere;
  }

  /** Returns the age of the newest report in milliseconds; -1 if there is none. */
  long ageMs(long nowNanos) {
    return report == null ? -1 : TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - reportNanos));
  }

  boolean isValid(long nowNanos) {
    return report != null && ageMs(nowNanos) <= VALIDITY_MS;
  }

  boolean isCertain(long nowNanos) {
    return report != null && ageMs(nowNanos) <= CERTAINTY_MS;
  }

  /**
   * Returns the requests of other instances; only while the report is valid.
   *
   * @param residenceMs how long a request stays at the endpoint
   */
  double others(double residenceMs, long nowNanos) {
    return others + (othersMean - others) * replacedShare(residenceMs, nowNanos);
  }

  /** Returns the share of what was reported that has ended since. */
  private double replacedShare(double durationMs, long nowNanos) {
    return 1 - Math.exp(-ageMs(nowNanos) / Math.max(1, durationMs));
  }

  /**
   * Returns the requests of other instances whose prompts have not been read.
   *
   * @param residenceMs how long a request stays at the endpoint
   * @param promptMs how long the endpoint reads a prompt
   */
  double othersWaiting(double residenceMs, double promptMs, long nowNanos) {
    boolean slotsTaken = report.running() >= report.slots();
    double waitMs = slotsTaken ? residenceMs : promptMs * Math.max(1, othersWaiting);
    return othersWaiting + (othersWaitingMean - othersWaiting) * replacedShare(waitMs, nowNanos);
  }

  /** Returns how many unread requests of others there may be beside those that are expected. */
  double uncertainWaiting() {
    return Math.sqrt(othersWaitingMean);
  }

  /**
   * Returns how many requests this instance may send until the next report.
   *
   * @param maximum requests that the endpoint can take
   * @param share this instance's share of the fleet's requests
   */
  int claim(double maximum, double share) {
    double rounding = new SplittableRandom(seed ^ reportNanos).nextDouble();
    int claimed = (int) (Math.max(0, maximum - total) * share * CLAIMED_SHARE + rounding);
    return total < maximum / 2 ? Math.max(claimed, CLAIM_WITH_MUCH_ROOM) : claimed;
  }

  /** Returns the requests in the newest report, those of this instance included. */
  int reported() {
    return total;
  }

  /** Returns how many requests other instances are expected to have sent since the report. */
  double sentByOthers(double residenceMs, long nowNanos) {
    return othersMean * ageMs(nowNanos) / Math.max(1, residenceMs);
  }

  /** Returns how many times as long as usual work takes on the endpoint's machine now. */
  double slowdown(long nowNanos) {
    if (report == null || ageMs(nowNanos) > SLOWDOWN_VALIDITY_MS) {
      return 1;
    }
    double factor = (double) report.slowdownPercent() / ReportedLoad.USUAL_PERCENT;
    return Math.clamp(factor, MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN);
  }
}
