package org.magnoliavale.internal.lease;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.Transaction;

/**
 * State machine that acquires, renews, watches and releases one lease. Not thread-safe. Performs no
 * I/O: {@link #tick} returns the table call to make, and {@link #answered} takes its result. There
 * is at most one pending call.
 *
 * <p>A holder counts the validity of the lease from before it sent a renewal. A watcher acquires
 * the lease only after its row stayed unchanged for longer than that, on the watcher's own clock.
 * So clocks need not agree on the time of day; they must only run at nearly the same rate.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. A call that fails is repeated after
 * a short delay. After one with an unknown result the row is read, and its token shows whether the
 * write took effect. A lease that is not renewed in time, or whose renewal is rejected, counts as
 * lost.
 */
public final class LeaseKeeper {
  private sealed interface State {
    record Watching(long leaseRow, long seenSinceMs) implements State {}

    record Held(long epoch, long epochRow, long leaseRow, long validUntilMs, long renewAtMs)
        implements State {}
  }

  private sealed interface Pending {
    record Reading() implements Pending {}

    record Taking(String token, long epoch, long sentAtMs) implements Pending {}

    record Renewing(String token, long sentAtMs) implements Pending {}

    record Releasing() implements Pending {}
  }

  private static final long NEVER_SEEN = -1;

  private final String leaseKey;
  private final String epochKey;
  private final String self;
  private final LeaseTimes times;
  private final RandomGenerator random;
  private State state = new State.Watching(NEVER_SEEN, 0);
  private Pending pending;
  private Pending unresolved;
  private long nextCallMs;
  private boolean wanted = true;
  private boolean succeedsItself;
  private long actingMs;
  private long surrenderedEpoch;

  /**
   * Returns a state machine that watches the lease.
   *
   * @param name the lease's name
   * @param self name and incarnation of this instance
   */
  public LeaseKeeper(String name, String self, LeaseTimes times, RandomGenerator random) {
    this.leaseKey = "lease/" + name;
    this.epochKey = "epoch/" + name;
    this.self = self;
    this.times = times;
    this.random = random;
  }

  /**
   * Enables immediate acquisition of a lease that an earlier incarnation of this instance holds.
   * Safe only where at most one process per instance runs at a time.
   */
  public LeaseKeeper succeedingItself() {
    succeedsItself = true;
    return this;
  }

  /**
   * Limits how long this instance acts as the holder after it started to send the last confirmed
   * renewal. Without effect if the lease ends sooner; see {@link #surrender}.
   */
  public LeaseKeeper actingFor(long milliseconds) {
    actingMs = milliseconds;
    return this;
  }

  /**
   * Surrenders the current epoch for good if the lease could not be renewed in time. This instance
   * never acts under that epoch again, so another instance that learns of it need not wait for the
   * lease to expire.
   *
   * @return whether the epoch was surrendered now
   */
  public boolean surrender(long nowMs) {
    if (!(state instanceof State.Held held) || nowMs < held.validUntilMs()) {
      return false;
    }
    surrenderedEpoch = Math.max(surrenderedEpoch, held.epoch());
    unresolved = null;
    doubt(nowMs);
    return true;
  }

  /** Returns the highest epoch that is known to have been surrendered; 0 if none. */
  public long surrenderedEpoch() {
    return surrenderedEpoch;
  }

  /** Records that the holder surrendered an epoch. */
  public void heardSurrender(long epoch) {
    if (epoch > surrenderedEpoch) {
      surrenderedEpoch = epoch;
      hurry();
    }
  }

  /**
   * Records the version of the lease row after a renewal that the holder announced. The renewal was
   * sent earlier, so it is safe to count the lease duration from now.
   */
  public void heardRenewal(long rowVersion, long nowMs) {
    if (state instanceof State.Watching watching && rowVersion > watching.leaseRow()) {
      state = new State.Watching(rowVersion, nowMs);
    }
  }

  /** Returns the lease row's version after the last renewal; absent if the lease is not held. */
  public long leaseRowVersion() {
    return state instanceof State.Held held ? held.leaseRow() : Row.ABSENT;
  }

  private boolean isOwnPredecessor(LeaseRow row) {
    String instance = self.substring(0, self.indexOf('/') + 1);
    return succeedsItself
        && !instance.isEmpty()
        && row.holder().startsWith(instance)
        && !row.holder().equals(self);
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
    return epochKey;
  }

  /** Returns the epoch row's version while this instance holds the lease, or else absent. */
  public long epochRowVersion() {
    return state instanceof State.Held held ? held.epochRow() : Row.ABSENT;
  }

  /** Stops acquiring the lease, and releases it if it is held. */
  public void stopWanting() {
    wanted = false;
    nextCallMs = 0;
  }

  /** Reads the row on the next tick, for example because the holder is shutting down. */
  public void hurry() {
    nextCallMs = 0;
  }

  /** Treats the lease as lost, for example because a write was rejected. */
  public void doubt(long nowMs) {
    state = new State.Watching(NEVER_SEEN, nowMs);
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
      doubt(nowMs);
      return read();
    }
    if (!wanted) {
      pending = new Pending.Releasing();
      return write(held.leaseRow(), new LeaseRow(self, held.epoch(), newToken(), true));
    }
    if (nowMs < held.renewAtMs()) {
      return Optional.empty();
    }
    String token = newToken();
    pending = new Pending.Renewing(token, nowMs);
    return write(held.leaseRow(), new LeaseRow(self, held.epoch(), token, false));
  }

  private Optional<TableCall> tickWatching(State.Watching watching, long nowMs) {
    return wanted || unresolved != null ? read() : Optional.empty();
  }

  private Optional<TableCall> read() {
    pending = new Pending.Reading();
    return Optional.of(new TableCall.Read(List.of(leaseKey, epochKey)));
  }

  private Optional<TableCall> write(long leaseRowVersion, LeaseRow row) {
    return Optional.of(
        new TableCall.Commit(
            Transaction.builder()
                .require(leaseKey, leaseRowVersion)
                .write(leaseKey, Json.text(row))
                .build()));
  }

  /**
   * Applies the result of the last call.
   *
   * @return a further call to make at once, if any
   */
  public Optional<TableCall> answered(TableAnswer answer, long nowMs) {
    Pending call = pending;
    pending = null;
    return switch (call) {
      case null -> Optional.empty();
      case Pending.Reading() -> answeredRead(answer, nowMs);
      case Pending.Taking taking -> answeredTake(taking, answer, nowMs);
      case Pending.Renewing renewing -> answeredRenewal(renewing, answer, nowMs);
      case Pending.Releasing() -> {
        state = new State.Watching(NEVER_SEEN, nowMs);
        nextCallMs = nowMs + times.renewal();
        yield Optional.empty();
      }
    };
  }

  private Optional<TableCall> answeredRead(TableAnswer answer, long nowMs) {
    if (!(answer instanceof TableAnswer.Done done)) {
      nextCallMs = nowMs + times.retry();
      return Optional.empty();
    }
    Optional<LeaseRow> lease = done.row(leaseKey).map(row -> parse(row, LeaseRow.class));
    if (resolves(lease, done, nowMs)) {
      return Optional.empty();
    }
    unresolved = null;
    long version = done.version(leaseKey);
    long seenSince =
        state instanceof State.Watching(long known, long since) && known == version ? since : nowMs;
    state = new State.Watching(version, seenSince);
    boolean free = lease.isEmpty() || isFree(lease.get());
    boolean expired = nowMs - seenSince >= times.watcherPatience();
    if (wanted && (free || expired)) {
      return take(done, nowMs);
    }
    long patienceEnds = seenSince + times.watcherPatience();
    // Jitter keeps watchers from trying to acquire the lease at the same time.
    long jitter = random.nextLong(times.retry() + 1);
    nextCallMs = Math.min(nowMs + times.renewal(), Math.max(nowMs, patienceEnds)) + jitter;
    return Optional.empty();
  }

  private boolean isFree(LeaseRow row) {
    return row.released() || row.epoch() <= surrenderedEpoch || isOwnPredecessor(row);
  }

  /** Resolves a write with an unknown result: the row carries its token if it took effect. */
  private boolean resolves(Optional<LeaseRow> lease, TableAnswer.Done done, long nowMs) {
    if (lease.isEmpty() || unresolved == null) {
      return false;
    }
    return switch (unresolved) {
      case Pending.Taking(String token, long epoch, long sentAt)
          when token.equals(lease.get().token()) -> {
        hold(epoch, done.version(epochKey), done.version(leaseKey), sentAt, nowMs);
        yield true;
      }
      case Pending.Renewing(String token, long sentAt) when token.equals(lease.get().token()) -> {
        hold(lease.get().epoch(), done.version(epochKey), done.version(leaseKey), sentAt, nowMs);
        yield true;
      }
      default -> false;
    };
  }

  private Optional<TableCall> take(TableAnswer.Done done, long nowMs) {
    long epoch = done.row(epochKey).map(row -> parse(row, EpochRow.class).epoch()).orElse(0L) + 1;
    String token = newToken();
    pending = new Pending.Taking(token, epoch, nowMs);
    return Optional.of(
        new TableCall.Commit(
            Transaction.builder()
                .require(leaseKey, done.version(leaseKey))
                .require(epochKey, done.version(epochKey))
                .write(epochKey, Json.text(new EpochRow(epoch, self)))
                .write(leaseKey, Json.text(new LeaseRow(self, epoch, token, false)))
                .build()));
  }

  private Optional<TableCall> answeredTake(Pending.Taking taking, TableAnswer answer, long nowMs) {
    switch (answer) {
      case TableAnswer.Done done ->
          hold(
              taking.epoch(),
              done.version(epochKey),
              done.version(leaseKey),
              taking.sentAtMs(),
              nowMs);
      case TableAnswer.Refused ignored -> nextCallMs = nowMs + times.retry();
      case TableAnswer.Unknown ignored -> {
        unresolved = taking;
        nextCallMs = nowMs;
      }
      case TableAnswer.Unavailable ignored -> nextCallMs = nowMs + times.retry();
    }
    return Optional.empty();
  }

  private Optional<TableCall> answeredRenewal(
      Pending.Renewing renewing, TableAnswer answer, long nowMs) {
    if (!(state instanceof State.Held held)) {
      return Optional.empty();
    }
    switch (answer) {
      case TableAnswer.Done done ->
          hold(held.epoch(), held.epochRow(), done.version(leaseKey), renewing.sentAtMs(), nowMs);
      case TableAnswer.Refused ignored -> doubt(nowMs);
      case TableAnswer.Unknown ignored -> {
        unresolved = renewing;
        return read();
      }
      case TableAnswer.Unavailable ignored -> nextCallMs = nowMs + times.retry();
    }
    return Optional.empty();
  }

  private void hold(long epoch, long epochRow, long leaseRow, long sentAtMs, long nowMs) {
    unresolved = null;
    long acting = actingMs == 0 ? times.holderValidity() : actingMs;
    state =
        new State.Held(
            epoch,
            epochRow,
            leaseRow,
            sentAtMs + Math.min(acting, times.holderValidity()),
            sentAtMs + times.renewal());
    nextCallMs = nowMs;
  }

  private String newToken() {
    return self + "/" + Long.toHexString(random.nextLong());
  }

  private static <T> T parse(Row row, Class<T> type) {
    try {
      return Json.read(row.value(), type);
    } catch (IOException e) {
      throw new IllegalStateException("lease row " + row.key() + " is malformed", e);
    }
  }
}
