package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.UnexpectedFailures;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.residency.CommandLease;

/**
 * Acquires and renews the command lease in a loop of its own. Access to the lease's state machine
 * is synchronized on that object; table calls are made outside the lock.
 *
 * <p>The monotonic clock does not advance while a machine is suspended, but the wall clock does. A
 * jump of the wall clock against the monotonic clock therefore means that the lease may have
 * expired unnoticed, and it is treated as lost.
 */
final class CommandLeaseManager implements CommandLease {
  private static final Logger LOG = Logs.of("lease");
  private static final long TICK_INTERVAL_MS = 60;

  /** Interval while another instance holds the lease and its heartbeats arrive. */
  private static final long IDLE_TICK_INTERVAL_MS = 250;

  /** Jump of the wall clock above which a suspension of the machine is assumed, in milliseconds. */
  private static final long SUSPENSION_THRESHOLD_MS = 250;

  /** Largest difference between the clocks of two instances over the length of the lease. */
  private static final Duration CLOCK_DRIFT = Duration.ofMillis(200);

  /** Maximum time for which this instance acts as lease holder after it sends a renewal. */
  private static final long RENEWAL_TIMEOUT_MS = 1_900;

  private final LeaseManager leaseManager;
  private final Table table;
  private final BooleanSupplier holderAlive;
  private final TickLoop ticks;
  private volatile boolean surrendered;
  private volatile boolean suspended;
  private long lastFence;
  private long lastClockOffsetMs;

  /**
   * Returns a manager that is not started yet.
   *
   * @param incarnation name and incarnation of this instance
   * @param leaseDuration time for which others wait for a silent holder
   * @param holderAlive whether the holder is heard
   * @param failures records exceptions in the periodic task
   */
  static CommandLeaseManager of(
      String incarnation,
      Duration leaseDuration,
      Table table,
      BooleanSupplier holderAlive,
      UnexpectedFailures failures) {
    LeaseTimes times = LeaseTimes.of(leaseDuration, CLOCK_DRIFT);
    LeaseManager leaseManager =
        new LeaseManager("orders", incarnation, times, new Random())
            .reclaimingOwnLease()
            .withActingLimit(RENEWAL_TIMEOUT_MS);
    return new CommandLeaseManager(leaseManager, table, holderAlive, failures);
  }

  CommandLeaseManager(
      LeaseManager leaseManager,
      Table table,
      BooleanSupplier holderAlive,
      UnexpectedFailures failures) {
    this.leaseManager = leaseManager;
    this.table = table;
    this.holderAlive = holderAlive;
    this.lastClockOffsetMs = wallClockOffsetMs();
    this.ticks =
        new TickLoop(
            "lease",
            TICK_INTERVAL_MS,
            IDLE_TICK_INTERVAL_MS,
            this::needsFrequentTicks,
            this::step,
            failures);
  }

  private static long monotonicMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static long wallClockOffsetMs() {
    return System.currentTimeMillis() - monotonicMs();
  }

  /** Gives the lease up and does not take it while it is suspended. */
  void setSuspended(boolean value) {
    suspended = value;
    isHeld();
    ticks.wake();
  }

  @Override
  public boolean isHeld() {
    synchronized (leaseManager) {
      checkValidity();
      return leaseManager.isHeld(monotonicMs());
    }
  }

  /** Returns whether the lease was surrendered since the last call of this method. */
  boolean consumeSurrendered() {
    boolean wasSurrendered = surrendered;
    surrendered = false;
    return wasSurrendered;
  }

  /** Returns the newest epoch that is known to have been surrendered; 0 if none. */
  long surrenderedEpoch() {
    synchronized (leaseManager) {
      return leaseManager.surrenderedEpoch();
    }
  }

  /** Returns the version of the lease row after the last renewal; 0 if the lease is not held. */
  long leaseRowVersion() {
    synchronized (leaseManager) {
      return Math.max(0, leaseManager.leaseRowVersion());
    }
  }

  /** Applies the lease state that a peer's heartbeat reported. */
  void applyPeerState(long leaseRowVersion, long surrenderedEpoch) {
    boolean surrenderIsNew;
    synchronized (leaseManager) {
      surrenderIsNew = surrenderedEpoch > leaseManager.surrenderedEpoch();
      leaseManager.observeSurrender(surrenderedEpoch);
      if (leaseRowVersion > 0) {
        leaseManager.observeRenewal(leaseRowVersion, monotonicMs());
      }
    }
    if (surrenderIsNew) {
      ticks.wake();
    }
  }

  @Override
  public long fencingToken() {
    synchronized (leaseManager) {
      return leaseManager.epoch();
    }
  }

  @Override
  public void fencedOff(long token) {
    synchronized (leaseManager) {
      long epoch = leaseManager.surrenderedEpoch();
      leaseManager.fencedOff(token, monotonicMs());
      surrendered |= leaseManager.surrenderedEpoch() > epoch;
    }
    ticks.wake();
  }

  /** Gives the lease up if it was not renewed in time, or the table has been restored. */
  private void checkValidity() {
    detectSuspension();
    long epoch = leaseManager.surrenderedEpoch();
    leaseManager.observeGeneration(table.generation(), monotonicMs());
    leaseManager.surrender(monotonicMs());
    if (suspended) {
      leaseManager.giveUp(monotonicMs());
    }
    surrendered |= leaseManager.surrenderedEpoch() > epoch;
  }

  private void detectSuspension() {
    long offset = wallClockOffsetMs();
    long jump = offset - lastClockOffsetMs;
    lastClockOffsetMs = offset;
    if (jump > SUSPENSION_THRESHOLD_MS) {
      boolean held = leaseManager.isHeld(monotonicMs());
      leaseManager.markLost(monotonicMs());
      LOG.infof("Clock jump detected, lease treated as lost. jump-ms=%d held=%s", jump, held);
    }
  }

  void start() {
    ticks.start();
  }

  /** Releases the lease and does not acquire it again. */
  void release() {
    synchronized (leaseManager) {
      leaseManager.resign();
    }
  }

  void stop() {
    ticks.stop();
  }

  /** Reads the lease row on the next tick, for example because the holder is leaving. */
  void scheduleCheck() {
    synchronized (leaseManager) {
      leaseManager.checkNow();
    }
    ticks.wake();
  }

  private boolean needsFrequentTicks() {
    return !suspended && (isHeld() || !holderAlive.getAsBoolean());
  }

  private void step() {
    Optional<TableCall> call;
    synchronized (leaseManager) {
      checkValidity();
      // The row is not read while heartbeats from the holder arrive, to save store calls.
      boolean idle = !leaseManager.isHeld(monotonicMs()) && holderAlive.getAsBoolean();
      call = idle || suspended ? Optional.empty() : leaseManager.tick(monotonicMs());
    }
    while (call.isPresent()) {
      TableResult result = call.get().execute(table);
      synchronized (leaseManager) {
        call = leaseManager.callCompleted(result, monotonicMs());
      }
    }
    logChange(isHeld(), fencingToken());
  }

  /** Logs each fence under which the lease is taken, also when it is lost and taken in one step. */
  private void logChange(boolean held, long fence) {
    if (held && fence != lastFence) {
      LOG.infof("Command lease taken. fence=%d", fence);
    } else if (!held && lastFence != 0) {
      LOG.infof("Command lease lost. fence=%d", lastFence);
    }
    lastFence = held ? fence : 0;
  }
}
