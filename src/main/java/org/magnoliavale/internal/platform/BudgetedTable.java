package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Keeps this instance's calls within its share of the fleet's budget, so that the whole fleet stays
 * under the table's rates. A call beyond the share is answered as unavailable and has no effect.
 */
public final class BudgetedTable implements Table {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Calls that may be made at once by an instance that was quiet, whatever its share. */
  private static final double SMALLEST_BURST = 20;

  private static final TableAnswer OVER_BUDGET =
      new TableAnswer.Unavailable("over this instance's share of the table's budget");

  /** A token bucket whose rate follows the number of instances. */
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
   * Returns a table within a budget.
   *
   * @param fleetReadsPerSecond reads a second of the whole fleet
   * @param fleetWritesPerSecond commits a second of the whole fleet
   * @param instances live instances of the fleet
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
