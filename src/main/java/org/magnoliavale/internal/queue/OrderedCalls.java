package org.magnoliavale.internal.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * The calls of one queue. A call goes before another if its priority is more urgent, then if it can
 * be served in time and the other can't, then in the order of {@link Lanes}.
 */
final class OrderedCalls {
  /** How often calls that arrived later may go before one that found no room for its size. */
  private static final int MAXIMUM_OVERTAKINGS = 8;

  private static final class Level {
    private final Lanes inTime = new Lanes();
    private final Lanes late = new Lanes();

    private boolean isEmpty() {
      return inTime.size() + late.size() == 0;
    }
  }

  private final TreeMap<Integer, Level> levels = new TreeMap<>();
  private final TreeSet<WaitingCall> inTime = new TreeSet<>(WaitingCall.BY_LATEST_START);
  private final Map<Long, Integer> overtakings = new HashMap<>();
  private final DrainRate drainInTime = new DrainRate();
  private final DrainRate drainLate = new DrainRate();
  private Optional<Blockage> blockage = Optional.empty();
  private int size;

  int size() {
    return size;
  }

  Optional<Blockage> blockage() {
    return blockage;
  }

  void add(WaitingCall call, long nowNanos) {
    Level level = levels.computeIfAbsent(call.priority(), ignored -> new Level());
    if (call.isLate(nowNanos)) {
      level.late.add(call);
    } else {
      level.inTime.add(call);
      inTime.add(call);
    }
    size++;
    observe(nowNanos);
  }

  boolean contains(WaitingCall call) {
    Level level = levels.get(call.priority());
    return level != null && (level.inTime.contains(call) || level.late.contains(call));
  }

  boolean remove(WaitingCall call, long nowNanos) {
    Level level = levels.get(call.priority());
    if (level == null || !level.inTime.remove(call) && !level.late.remove(call)) {
      return false;
    }
    inTime.remove(call);
    overtakings.remove(call.number());
    if (level.isEmpty()) {
      levels.remove(call.priority());
    }
    size--;
    observe(nowNanos);
    return true;
  }

  /** Removes a call that has been served, after others that found no room for them. */
  boolean removeServed(WaitingCall call, Set<WaitingCall> passedOver, long nowNanos) {
    if (!remove(call, nowNanos)) {
      return false;
    }
    (call.isLate(nowNanos) ? drainLate : drainInTime).recordServed(nowNanos);
    for (WaitingCall passed : passedOver) {
      if (contains(passed)) {
        overtakings.merge(passed.number(), 1, Integer::sum);
      }
    }
    return true;
  }

  /** Returns whether calls behind this one may be served while it finds no room. */
  boolean mayBePassed(WaitingCall call) {
    return overtakings.getOrDefault(call.number(), 0) < MAXIMUM_OVERTAKINGS;
  }

  /** Notes why the first call was not served. */
  void block(Blockage newBlockage, long nowNanos) {
    if (newBlockage instanceof Blockage.NotLoaded) {
      // All of them wait for the same moment, which tells nothing of how fast they are served.
      drainInTime.reset();
      drainLate.reset();
    }
    blockage = Optional.of(earlierRoom(newBlockage, nowNanos));
    observe(nowNanos);
  }

  /** Room for a large call may come later than that for others of its queue. */
  private Blockage earlierRoom(Blockage newBlockage, long nowNanos) {
    return blockage.orElse(null) instanceof Blockage.NoRoom known
            && newBlockage instanceof Blockage.NoRoom told
            && known.roomNanos() - nowNanos > 0
            && known.roomNanos() - told.roomNanos() < 0
        ? known
        : newBlockage;
  }

  /** Returns the call to be served first, without those in {@code passedOver}. */
  Optional<Candidate> first(
      TenantShares tenants,
      ServedShares<Integer> priorities,
      Set<WaitingCall> passedOver,
      long nowNanos) {
    moveLate(nowNanos);
    Optional<Candidate> first = Optional.empty();
    for (Map.Entry<Integer, Level> level : levels.entrySet()) {
      boolean neglected =
          levels.size() > 1 && priorities.isServedTooLittle(level.getKey(), nowNanos);
      if (first.isPresent() && !neglected) {
        continue;
      }
      Optional<Candidate> candidate = first(level.getValue(), tenants, passedOver, neglected);
      if (candidate.isPresent()) {
        first = candidate;
      }
      if (neglected && candidate.isPresent()) {
        break;
      }
    }
    return first;
  }

  private static Optional<Candidate> first(
      Level level, TenantShares tenants, Set<WaitingCall> passedOver, boolean neglected) {
    return level
        .inTime
        .first(tenants, passedOver)
        .map(call -> new Candidate(call, neglected, false, tenants.tag(call.tenant())))
        .or(
            () ->
                level
                    .late
                    .first(tenants, passedOver)
                    .map(call -> new Candidate(call, neglected, true, tenants.tag(call.tenant()))));
  }

  private void moveLate(long nowNanos) {
    while (!inTime.isEmpty() && inTime.first().isLate(nowNanos)) {
      WaitingCall call = inTime.pollFirst();
      Level level = levels.get(call.priority());
      level.inTime.remove(call);
      level.late.add(call);
    }
  }

  /** Returns about how many calls are served before this one, which need not be in the queue. */
  int ahead(WaitingCall call, long nowNanos) {
    moveLate(nowNanos);
    int ahead = 0;
    for (Level level : levels.headMap(call.priority()).values()) {
      ahead += level.inTime.size() + level.late.size();
    }
    Level own = levels.get(call.priority());
    if (own == null) {
      return ahead;
    }
    return call.isLate(nowNanos)
        ? ahead + own.inTime.size() + own.late.ahead(call)
        : ahead + own.inTime.ahead(call);
  }

  /** Returns calls served a second, of those in time or of those that are late. */
  OptionalDouble drainPerSecond(boolean late, long nowNanos) {
    return (late ? drainLate : drainInTime).perSecond(nowNanos);
  }

  /** Returns the time until an endpoint is expected to have room; empty if that is not known. */
  Optional<Long> nanosToRoom(long nowNanos) {
    return switch (blockage.orElse(null)) {
      case Blockage.NoRoom noRoom -> Optional.of(Math.max(0, noRoom.roomNanos() - nowNanos));
      case Blockage.NotLoaded notLoaded ->
          notLoaded.arrivalNanos().isEmpty()
              ? Optional.empty()
              : Optional.of(Math.max(0, notLoaded.arrivalNanos().getAsLong() - nowNanos));
      case null -> Optional.empty();
    };
  }

  /** Returns the time to serve a number of calls, in nanoseconds; 0 if that is not known. */
  long nanosToServe(int calls, boolean late, long nowNanos) {
    OptionalDouble perSecond = drainPerSecond(late, nowNanos);
    return perSecond.isEmpty()
        ? 0
        : (long) (calls / perSecond.getAsDouble() * TimeUnit.SECONDS.toNanos(1));
  }

  private void observe(long nowNanos) {
    boolean forRoom = blockage.orElse(null) instanceof Blockage.NoRoom;
    moveLate(nowNanos);
    drainInTime.observe(forRoom && !inTime.isEmpty(), nowNanos);
    drainLate.observe(forRoom && inTime.size() < size, nowNanos);
  }
}
