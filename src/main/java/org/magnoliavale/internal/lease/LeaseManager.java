package org.magnoliavale.internal.lease;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.TableResult;

/**
 * State machine that acquires, renews, watches and releases one lease. Not thread-safe. Performs no
 * I/O: {@link #tick} returns the table call to make, and {@link #callCompleted} takes its result.
 * There is at most one pending call.
 *
 * <p>A holder counts the validity of the lease from before it sent a renewal. A watcher acquires
 * the lease only after its row stayed unchanged for longer than that, on the watcher's own clock.
 * So clocks need not agree on the time of day; they must only run at nearly the same rate.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. A call that had no effect is
 * retried after a short delay. If the result of a write is unknown, the row is read, and its token
 * shows whether the write took effect. A lease that is not renewed in time, or whose renewal is
 * rejected, counts as lost.
 */
public final class LeaseManager {
  private sealed interface State {
    record Watching(long leaseRow, long unchangedSinceMs) implements State {}

    record Held(long epoch, long epochRow, long leaseRow, long validUntilMs, long renewAtMs)
        implements State {}
  }

  private static final long UNKNOWN_VERSION = -1;

  private final LeaseRows rows;
  private final String self;
  private final LeaseTimes times;
  private final RandomGenerator random;
  private State state = new State.Watching(UNKNOWN_VERSION, 0);
  private PendingCall pending;
  private PendingCall unresolvedWrite;
  private long nextCallMs;
  private boolean acquisitionEnabled = true;
  private boolean reclaimsOwnLease;
  private long actingLimitMs;
  private long surrenderedEpoch;
  private long generation = UNKNOWN_VERSION;
  private final FenceBackoff fenceBackoff = new FenceBackoff();

  /**
   * Returns a state machine that watches the lease.
   *
   * @param name the lease's name
   * @param self name and incarnation of this instance
   */
  public LeaseManager(String name, String self, LeaseTimes times, RandomGenerator random) {
    this.rows = LeaseRows.of(name);
    this.self = self;
    this.times = times;
    this.random = random;
  }

  /**
   * Enables immediate acquisition of a lease that an earlier incarnation of this instance holds.
   * Safe only where at most one process per instance runs at a time.
   */
  public LeaseManager reclaimingOwnLease() {
    reclaimsOwnLease = true;
    return this;
  }

  /**
   * Limits how long this instance acts as the holder after it started to send the last confirmed
   * renewal. Without effect if the lease ends sooner; see {@link #surrender}.
   */
  public LeaseManager withActingLimit(long milliseconds) {
    actingLimitMs = milliseconds;
    return this;
  }

  /**
   * Surrenders the current epoch permanently if the lease could not be renewed in time. This
   * instance never acts under that epoch again, so another instance that learns of it need not wait
   * for the lease to expire.
   *
   * @return whether the epoch was surrendered now
   */
  public boolean surrender(long nowMs) {
    if (!(state instanceof State.Held held) || nowMs < held.validUntilMs()) {
      return false;
    }
    surrenderEpoch(held.epoch());
    markLost(nowMs);
    return true;
  }

  private void surrenderEpoch(long epoch) {
    surrenderedEpoch = Math.max(surrenderedEpoch, epoch);
    unresolvedWrite = null;
  }

  /**
   * Surrenders an epoch that endpoints reject, because they have seen a later one; the next one is
   * higher. Does so seldom, since one odd endpoint must not take the lease from all others.
   */
  public void fencedOff(long epoch, long nowMs) {
    if (epoch() == epoch && epoch != 0 && fenceBackoff.allows(nowMs)) {
      surrenderEpoch(epoch);
      markLost(nowMs);
    }
  }

  /** Surrenders the epoch for good, so that another instance takes the lease at once. */
  public void giveUp(long nowMs) {
    if (state instanceof State.Held held) {
      surrenderEpoch(held.epoch());
      markLost(nowMs);
    }
  }

  /**
   * Records the generation of the table's contents. In a new one the versions that are known mean
   * nothing, and a lease that was held may be lost; its holder surrenders it.
   */
  public void observeGeneration(long newGeneration, long nowMs) {
    boolean first = generation == UNKNOWN_VERSION;
    if (newGeneration <= generation) {
      return;
    }
    generation = newGeneration;
    if (first) {
      return;
    }
    if (state instanceof State.Held held) {
      surrenderEpoch(held.epoch());
    }
    unresolvedWrite = null;
    markLost(nowMs);
  }

  /** Returns the highest epoch that is known to have been surrendered; 0 if none. */
  public long surrenderedEpoch() {
    return surrenderedEpoch;
  }

  /** Records that the holder surrendered an epoch. */
  public void observeSurrender(long epoch) {
    if (epoch > surrenderedEpoch) {
      surrenderedEpoch = epoch;
      checkNow();
    }
  }

  /**
   * Records the version of the lease row after a renewal that the holder announced. The renewal was
   * sent earlier, so it is safe to count the lease duration from now.
   */
  public void observeRenewal(long rowVersion, long nowMs) {
    if (state instanceof State.Watching watching && rowVersion > watching.leaseRow()) {
      state = new State.Watching(rowVersion, nowMs);
    }
  }

  /** Returns the lease row's version after the last renewal; absent if the lease is not held. */
  public long leaseRowVersion() {
    return state instanceof State.Held held ? held.leaseRow() : Row.ABSENT;
  }

  /** Returns whether this instance may act as the holder now. */
  public boolean isHeld(long nowMs) {
    return state instanceof State.Held held && nowMs < held.validUntilMs();
  }

  /** Returns the time until which this instance may act as the holder; 0 if it is not. */
  public long validUntilMs() {
    return state instanceof State.Held held ? held.validUntilMs() : 0;
  }

  /** Returns the epoch of the lease; 0 if it is not held. */
  public long epoch() {
    return state instanceof State.Held held ? held.epoch() : 0;
  }

  /** Returns the key of the row whose version each write of the holder must require. */
  public String epochKey() {
    return rows.epochKey();
  }

  /** Returns the epoch row's version while this instance holds the lease, or else absent. */
  public long epochRowVersion() {
    return state instanceof State.Held held ? held.epochRow() : Row.ABSENT;
  }

  /** Stops acquiring the lease, and releases it if it is held. */
  public void resign() {
    acquisitionEnabled = false;
    nextCallMs = 0;
  }

  /** Reads the row on the next tick, for example because the holder is shutting down. */
  public void checkNow() {
    nextCallMs = 0;
  }

  /** Treats the lease as lost, for example because a write was rejected. */
  public void markLost(long nowMs) {
    state = new State.Watching(UNKNOWN_VERSION, nowMs);
    nextCallMs = nowMs;
  }

  /** Returns the table call to make now, if any. */
  public Optional<TableCall> tick(long nowMs) {
    if (pending != null || nowMs < nextCallMs) {
      return Optional.empty();
    }
    return switch (state) {
      case State.Held held -> tickHeld(held, nowMs);
      case State.Watching watching -> tickWatching(watching, nowMs);
    };
  }

  private Optional<TableCall> tickHeld(State.Held held, long nowMs) {
    if (nowMs >= held.validUntilMs()) {
      markLost(nowMs);
      return read();
    }
    if (!acquisitionEnabled) {
      pending = new PendingCall.Releasing();
      LeaseRow released = new LeaseRow(self, held.epoch(), newToken(), true);
      return Optional.of(rows.renew(held.leaseRow(), released));
    }
    if (nowMs < held.renewAtMs()) {
      return Optional.empty();
    }
    String token = newToken();
    pending = new PendingCall.Renewing(token, nowMs);
    LeaseRow renewed = new LeaseRow(self, held.epoch(), token, false);
    return Optional.of(rows.renew(held.leaseRow(), renewed));
  }

  private Optional<TableCall> tickWatching(State.Watching watching, long nowMs) {
    return acquisitionEnabled || unresolvedWrite != null ? read() : Optional.empty();
  }

  private Optional<TableCall> read() {
    pending = new PendingCall.Reading();
    return Optional.of(rows.read());
  }

  /**
   * Applies the result of the last call.
   *
   * @return a further call to make at once, if any
   */
  public Optional<TableCall> callCompleted(TableResult result, long nowMs) {
    PendingCall call = pending;
    pending = null;
    if (result instanceof TableResult.Success success) {
      observeGeneration(success.generation(), nowMs);
    }
    return switch (call) {
      case null -> Optional.empty();
      case PendingCall.Reading() -> readCompleted(result, nowMs);
      case PendingCall.Acquiring acquiring -> acquisitionCompleted(acquiring, result, nowMs);
      case PendingCall.Renewing renewing -> renewalCompleted(renewing, result, nowMs);
      case PendingCall.Releasing() -> {
        state = new State.Watching(UNKNOWN_VERSION, nowMs);
        nextCallMs = nowMs + times.renewalIntervalMs();
        yield Optional.empty();
      }
    };
  }

  private Optional<TableCall> readCompleted(TableResult result, long nowMs) {
    if (!(result instanceof TableResult.Success success) || success.generation() < generation) {
      nextCallMs = nowMs + times.retryDelayMs();
      return Optional.empty();
    }
    LeaseSnapshot read = rows.parse(success);
    if (resolveUnknownWrite(read, nowMs)) {
      return Optional.empty();
    }
    unresolvedWrite = null;
    long unchangedSince =
        state instanceof State.Watching(long known, long since) && known == read.leaseVersion()
            ? since
            : nowMs;
    state = new State.Watching(read.leaseVersion(), unchangedSince);
    boolean free = read.lease().isEmpty() || isFree(read.lease().get());
    boolean expired = nowMs - unchangedSince >= times.takeoverDelayMs();
    if (acquisitionEnabled && (free || expired)) {
      return acquire(read, nowMs);
    }
    long takeoverAtMs = unchangedSince + times.takeoverDelayMs();
    // Jitter keeps watchers from trying to acquire the lease at the same time.
    long jitter = random.nextLong(times.retryDelayMs() + 1);
    nextCallMs =
        Math.min(nowMs + times.renewalIntervalMs(), Math.max(nowMs, takeoverAtMs)) + jitter;
    return Optional.empty();
  }

  private boolean isFree(LeaseRow row) {
    boolean ownPredecessor = reclaimsOwnLease && row.isOfOtherIncarnation(self);
    return row.released() || row.epoch() <= surrenderedEpoch || ownPredecessor;
  }

  /**
   * Resolves a write with an unknown result: the row contains its token if it took effect. Returns
   * whether it did.
   */
  private boolean resolveUnknownWrite(LeaseSnapshot read, long nowMs) {
    return switch (unresolvedWrite) {
      case PendingCall.Acquiring(String token, long epoch, long ignored, long sentAt)
          when read.hasToken(token) -> {
        markHeld(epoch, read.epochVersion(), read.leaseVersion(), sentAt, nowMs);
        yield true;
      }
      case PendingCall.Renewing(String token, long sentAt) when read.hasToken(token) -> {
        long epoch = read.lease().get().epoch();
        markHeld(epoch, read.epochVersion(), read.leaseVersion(), sentAt, nowMs);
        yield true;
      }
      case null, default -> false;
    };
  }

  private Optional<TableCall> acquire(LeaseSnapshot read, long nowMs) {
    long epoch = Epochs.next(read.lastEpoch(), read.generation());
    String token = newToken();
    pending = new PendingCall.Acquiring(token, epoch, read.generation(), nowMs);
    return Optional.of(rows.acquire(read, new LeaseRow(self, epoch, token, false)));
  }

  private Optional<TableCall> acquisitionCompleted(
      PendingCall.Acquiring acquiring, TableResult result, long nowMs) {
    switch (result) {
      case TableResult.Success success when success.generation() != acquiring.generation() -> {
        // The conditions may have held by accident, for versions that were given out again.
        surrenderEpoch(acquiring.epoch());
        nextCallMs = nowMs;
      }
      case TableResult.Success success ->
          markHeld(
              acquiring.epoch(),
              success.version(rows.epochKey()),
              success.version(rows.leaseKey()),
              acquiring.sentAtMs(),
              nowMs);
      case TableResult.ConditionFailed ignored -> nextCallMs = nowMs + times.retryDelayMs();
      case TableResult.OutcomeUnknown ignored -> {
        unresolvedWrite = acquiring;
        nextCallMs = nowMs;
      }
      case TableResult.Unavailable ignored -> nextCallMs = nowMs + times.retryDelayMs();
    }
    return Optional.empty();
  }

  private Optional<TableCall> renewalCompleted(
      PendingCall.Renewing renewing, TableResult result, long nowMs) {
    if (!(state instanceof State.Held held)) {
      return Optional.empty();
    }
    switch (result) {
      case TableResult.Success success ->
          markHeld(
              held.epoch(),
              held.epochRow(),
              success.version(rows.leaseKey()),
              renewing.sentAtMs(),
              nowMs);
      case TableResult.ConditionFailed ignored -> markLost(nowMs);
      case TableResult.OutcomeUnknown ignored -> {
        unresolvedWrite = renewing;
        return read();
      }
      case TableResult.Unavailable ignored -> nextCallMs = nowMs + times.retryDelayMs();
    }
    return Optional.empty();
  }

  private void markHeld(long epoch, long epochRow, long leaseRow, long sentAtMs, long nowMs) {
    unresolvedWrite = null;
    long actingLimit = actingLimitMs == 0 ? times.holderValidityMs() : actingLimitMs;
    state =
        new State.Held(
            epoch,
            epochRow,
            leaseRow,
            sentAtMs + Math.min(actingLimit, times.holderValidityMs()),
            sentAtMs + times.renewalIntervalMs());
    nextCallMs = nowMs;
  }

  private String newToken() {
    return self + "/" + Long.toHexString(random.nextLong());
  }
}
