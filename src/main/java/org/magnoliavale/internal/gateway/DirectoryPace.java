package org.magnoliavale.internal.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Decides how long an instance may wait between two reads of the endpoint directory. Thread-safe.
 *
 * <p>The holder of the command lease reads often, and tells its peers what drains, has left, was
 * loaded or unloaded. In a large fleet the others read seldom while they hear a holder whose reads
 * succeed; they read at the usual interval as soon as they don't, and once after the holder has
 * seen an endpoint without an engine appear, which no other message tells them.
 *
 * <p>Times are in nanoseconds of a monotonic clock.
 */
final class DirectoryPace {
  /** Interval of an instance that relies on its own reads. */
  static final long OWN_INTERVAL_MS = 1_200;

  /** Interval of an instance that hears a holder whose reads succeed. */
  static final long INFORMED_INTERVAL_MS = 4_000;

  /** Interval of the lease holder, which announces draining endpoints to its peers. */
  static final long HOLDER_INTERVAL_MS = 500;

  /** Interval of the lease holder while a command or an engine report is pending. */
  static final long PENDING_INTERVAL_MS = 250;

  /** Time for which the last heartbeat of a holder counts; it sends one twice a second. */
  private static final long HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

  private final BooleanSupplier leaseHeld;
  private final BooleanSupplier awaitingEndpoints;
  private final BooleanSupplier largeFleet;
  private String lastHolder = "";
  private long lastAppearances;
  private boolean holderHeard;
  private long holderHeardNanos;
  private boolean newsPending;

  /**
   * Returns a pace.
   *
   * @param leaseHeld whether this instance holds the command lease
   * @param awaitingEndpoints whether the holder waits for an effect of a command
   * @param largeFleet whether the fleet has relays
   */
  DirectoryPace(
      BooleanSupplier leaseHeld, BooleanSupplier awaitingEndpoints, BooleanSupplier largeFleet) {
    this.leaseHeld = leaseHeld;
    this.awaitingEndpoints = awaitingEndpoints;
    this.largeFleet = largeFleet;
  }

  /**
   * Records a heartbeat of a holder.
   *
   * @param reads whether its last reads of the directory succeeded
   * @param appearances how many endpoints without an engine it has seen appear
   */
  synchronized void holderHeard(String holder, boolean reads, long appearances, long nowNanos) {
    if (!reads) {
      holderHeard = false;
      return;
    }
    newsPending |= !holder.equals(lastHolder) || appearances != lastAppearances;
    lastHolder = holder;
    lastAppearances = appearances;
    holderHeard = true;
    holderHeardNanos = nowNanos;
  }

  /** Records that a read begins, which shows all that the holder has told of until now. */
  synchronized void readStarted() {
    newsPending = false;
  }

  /** Returns the time from the start of a read to the next one, in milliseconds. */
  long intervalMs(long nowNanos) {
    if (leaseHeld.getAsBoolean()) {
      return awaitingEndpoints.getAsBoolean() ? PENDING_INTERVAL_MS : HOLDER_INTERVAL_MS;
    }
    return largeFleet.getAsBoolean() && isInformed(nowNanos)
        ? INFORMED_INTERVAL_MS
        : OWN_INTERVAL_MS;
  }

  private synchronized boolean isInformed(long nowNanos) {
    return holderHeard && !newsPending && nowNanos - holderHeardNanos < HEARD_NANOS;
  }
}
