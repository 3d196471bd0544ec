package org.magnoliavale.internal.quota;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.route.Quota;

/**
 * How exactly quotas must be kept: in each window, all instances together may grant a tenant what
 * its quota yields in that time with its burst, a ratio more, and some units more.
 *
 * @param window length of the window
 * @param overage ratio by which a quota may be exceeded
 * @param slack units that may be granted in addition
 */
public record QuotaBounds(Duration window, double overage, double slack) {
  private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(8);
  private static final double DEFAULT_OVERAGE = 0.1;
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Checks the values. */
  public QuotaBounds {
    if (!window.isPositive() || !(overage >= 0) || !(slack >= 0)) {
      throw new IllegalArgumentException("window must be positive, overage and slack at least 0");
    }
  }

  /** Returns the bounds of a deployment that states none. */
  public static QuotaBounds ofDefaults() {
    return new QuotaBounds(DEFAULT_WINDOW, DEFAULT_OVERAGE, 0);
  }

  /** Returns the length of the window in seconds. */
  double windowSeconds() {
    return window.toNanos() / NANOS_PER_SECOND;
  }

  /** Returns the most units that all instances may grant in a window. */
  double unitsInWindow(Quota quota) {
    return regularUnits(quota) * (1 + overage) + slack;
  }

  /** Returns what the quota yields in a window, with its burst. */
  double regularUnits(Quota quota) {
    return quota.perSecond() * windowSeconds() + quota.burst();
  }

  /** Returns the part of {@link #unitsInWindow} that is beyond the quota's rate. */
  double reserve(Quota quota) {
    return unitsInWindow(quota) - quota.perSecond() * windowSeconds();
  }
}
