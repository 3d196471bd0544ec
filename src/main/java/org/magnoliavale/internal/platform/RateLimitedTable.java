package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Limits this instance's table calls to its share of the fleet's rate limits, so that the fleet as
 * a whole stays within the limits of the table. A call over the limit is not sent and returns
 * {@link TableResult.Unavailable}. Thread-safe.
 */
public final class RateLimitedTable implements Table {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Minimum capacity of a bucket, in calls, regardless of the instance's share. */
  private static final double MINIMUM_BURST_CALLS = 20;

  private static final TableResult RATE_LIMITED =
      new TableResult.Unavailable("table rate limit of this instance exceeded");

  /** A token bucket whose rate is the fleet's rate divided by the number of instances. */
  private final class TokenBucket {
    private final double fleetPerSecond;
    private double available = MINIMUM_BURST_CALLS;
    private long lastRefillNanos = nanoClock.getAsLong();

    TokenBucket(double fleetPerSecond) {
      this.fleetPerSecond = fleetPerSecond;
    }

    synchronized boolean tryAcquire() {
      double perSecond = fleetPerSecond / Math.max(1, instanceCount.getAsInt());
      long now = nanoClock.getAsLong();
      double refill = (now - lastRefillNanos) / NANOSECONDS_PER_SECOND * perSecond;
      available = Math.min(Math.max(MINIMUM_BURST_CALLS, perSecond), available + refill);
      lastRefillNanos = now;
      if (available < 1) {
        return false;
      }
      available -= 1;
      return true;
    }
  }

  private final Table table;
  private final IntSupplier instanceCount;
  private final LongSupplier nanoClock;
  private final TokenBucket reads;
  private final TokenBucket writes;

  /**
   * Returns a table that limits the rate of calls to {@code table}.
   *
   * @param fleetReadsPerSecond maximum reads and scans per second of the whole fleet
   * @param fleetWritesPerSecond maximum commits per second of the whole fleet
   * @param instanceCount number of live instances of the fleet
   * @param nanoClock monotonic time in nanoseconds
   */
  public RateLimitedTable(
      Table table,
      double fleetReadsPerSecond,
      double fleetWritesPerSecond,
      IntSupplier instanceCount,
      LongSupplier nanoClock) {
    this.table = table;
    this.instanceCount = instanceCount;
    this.nanoClock = nanoClock;
    this.reads = new TokenBucket(fleetReadsPerSecond);
    this.writes = new TokenBucket(fleetWritesPerSecond);
  }

  @Override
  public TableResult commit(Transaction transaction) {
    return writes.tryAcquire() ? table.commit(transaction) : RATE_LIMITED;
  }

  @Override
  public TableResult read(List<String> keys) {
    return reads.tryAcquire() ? table.read(keys) : RATE_LIMITED;
  }

  @Override
  public TableResult scan(String prefix) {
    return reads.tryAcquire() ? table.scan(prefix) : RATE_LIMITED;
  }
}
