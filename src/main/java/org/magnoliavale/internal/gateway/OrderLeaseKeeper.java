package org.magnoliavale.internal.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.residency.CommandLease;

/**
 * Keeps the lease of orders on a thread of its own.
 *
 * <p>The steady clock stands still while a machine is suspended. The time of day does not, so a
 * jump of it against the steady clock makes the lease doubtful.
 */
final class OrderLeaseKeeper implements CommandLease {
  private static final Logger LOG = Logs.of("lease");
  private static final long TICK_MS = 60;

  /** Jump of the time of day that makes the lease doubtful, in milliseconds. */
  private static final long SUSPENSION_MS = 250;

  private final LeaseManager keeper;
  private final Table table;
  private final BooleanSupplier holderHeard;
  private volatile boolean stopped;
  private volatile boolean surrendered;
  private boolean wasHeld;
  private long clockOffsetMs;

  OrderLeaseKeeper(LeaseManager keeper, Table table, BooleanSupplier holderHeard) {
    this.keeper = keeper;
    this.table = table;
    this.holderHeard = holderHeard;
    this.clockOffsetMs = offsetMs();
  }

  private static long steadyMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static long offsetMs() {
    return System.currentTimeMillis() - steadyMs();
  }

  @Override
  public boolean isHeld() {
    synchronized (keeper) {
      checkSuspension();
      surrendered |= keeper.surrender(steadyMs());
      return keeper.isHeld(steadyMs());
    }
  }

  /** Tells whether the lease was given up since the last time this was asked. */
  boolean takeSurrendered() {
    boolean news = surrendered;
    surrendered = false;
    return news;
  }

  /** Returns the newest epoch that is known to have been given up for good; 0 if none. */
  long surrenderedEpoch() {
    synchronized (keeper) {
      return keeper.surrenderedEpoch();
    }
  }

  /** Returns the version of the lease's row after the last renewal; 0 if it is not held. */
  long leaseRowVersion() {
    synchronized (keeper) {
      return Math.max(0, keeper.leaseRowVersion());
    }
  }

  /** Takes in what another instance told of the lease. */
  void heard(long leaseRowVersion, long surrenderedEpoch) {
    synchronized (keeper) {
      keeper.observeSurrender(surrenderedEpoch);
      if (leaseRowVersion > 0) {
        keeper.observeRenewal(leaseRowVersion, steadyMs());
      }
    }
  }

  @Override
  public long fencingToken() {
    synchronized (keeper) {
      return keeper.epoch();
    }
  }

  private void checkSuspension() {
    long offset = offsetMs();
    long jump = offset - clockOffsetMs;
    clockOffsetMs = offset;
    if (jump > SUSPENSION_MS) {
      boolean held = keeper.isHeld(steadyMs());
      keeper.markLost(steadyMs());
      LOG.infof("Clock jumped, lease is doubtful. jump-ms=%d held=%s", jump, held);
    }
  }

  void start() {
    Thread.ofVirtual().name("lease").start(this::loop);
  }

  /** Hands the lease over and takes it no more. */
  void release() {
    synchronized (keeper) {
      keeper.resign();
    }
  }

  void stop() {
    stopped = true;
  }

  /** Looks at the lease at once, because its holder leaves. */
  void hurry() {
    synchronized (keeper) {
      keeper.checkNow();
    }
  }

  private void loop() {
    try {
      while (!stopped) {
        step();
        Thread.sleep(TICK_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void step() {
    Optional<TableCall> call;
    synchronized (keeper) {
      checkSuspension();
      surrendered |= keeper.surrender(steadyMs());
      // While the holder is heard of there is nothing to look at, and looking has a price.
      boolean idle = !keeper.isHeld(steadyMs()) && holderHeard.getAsBoolean();
      call = idle ? Optional.empty() : keeper.tick(steadyMs());
    }
    while (call.isPresent()) {
      TableAnswer answer = call.get().make(table);
      synchronized (keeper) {
        call = keeper.answered(answer, steadyMs());
      }
    }
    boolean held = isHeld();
    if (held != wasHeld) {
      wasHeld = held;
      LOG.infof("Lease of orders %s. fence=%d", held ? "taken" : "lost", fencingToken());
    }
  }
}
