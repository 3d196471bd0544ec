package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Limits this instance's table calls to its share of the fleet's rate limits, so that the fleet as
 * a whole stays within the limits of the table. A call over the limit is not sent and returns
 * {@link TableAnswer.Unavailable}. Thread-safe.
 */
public final class BudgetedTable implements Table {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Minimum capacity of a bucket, in calls, however small the share of the instance is. */
  private static final double SMALLEST_BURST = 20;

  private static final TableAnswer OVER_BUDGET =
      new TableAnswer.Unavailable("table rate limit of this instance exceeded");

  /** A token bucket whose rate is the fleet's rate divided by the number of instances. */
  private final class Share {
    private final double fleetPerSecond;
    private double available = SMALLEST_BURST;
    private long lastNanos = nanoClock.getAsLong();

    Share(double fleetPerSecond) {
      this.fleetPerSecond = fleetPerSecond;
    }

    synchronized boolean trySpend() {
      double perSecond = fleetPerSecond / Math.max(1, instances.getAsInt());
      long now = nanoClock.getAsLong();
      double earned = (now - lastNanos) / NANOSECONDS_PER_SECOND * perSecond;
      available = Math.min(Math.max(SMALLEST_BURST, perSecond), available + earned);
      lastNanos = now;
      if (available < 1) {
        return false;
      }
      available -= 1;
      return true;
    }
  }

  private final Table table;
  private final IntSupplier instances;
  private final LongSupplier nanoClock;
  private final Share reads;
  private final Share writes;

  /**
   * Returns a table that limits the rate of calls to {@code table}.
   *
   * @param fleetReadsPerSecond maximum reads and scans per second of the whole fleet
   * @param fleetWritesPerSecond maximum commits per second of the whole fleet
   * @param instances number of live instances of the fleet
   * @param nanoClock monotonic time in nanoseconds
   */
  public BudgetedTable(
      Table table,
      double fleetReadsPerSecond,
      double fleetWritesPerSecond,
      IntSupplier instances,
      LongSupplier nanoClock) {
    this.table = table;
    this.instances = instances;
    this.nanoClock = nanoClock;
    this.reads = new Share(fleetReadsPerSecond);
    this.writes = new Share(fleetWritesPerSecond);
  }

  @Override
  public TableAnswer commit(Transaction transaction) {
    return writes.trySpend() ? table.commit(transaction) : OVER_BUDGET;
  }

  @Override
  public TableAnswer read(List<String> keys) {
    return reads.trySpend() ? table.read(keys) : OVER_BUDGET;
  }

  @Override
  public TableAnswer scan(String prefix) {
    return reads.trySpend() ? table.scan(prefix) : OVER_BUDGET;
  }
}
