package org.magnoliavale.internal.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.queue.SimulatedRoom.Load;
import org.magnoliavale.internal.queue.SimulatedRoom.Outcome;

class WaitingCallsLoadTest {
  private static final int TOKENS = 1_000;

  /** Calls that run at once. */
  private static final int ROOM = 20;

  /** Calls of the usual size that are served in a second without a pause. */
  private static final double CAPACITY = ROOM * 1_000.0 / SimulatedRoom.WORK_MS;

  private static final int RUN_MS = 12_000;

  private static SimulatedRoom room(int seed) {
    return new SimulatedRoom(seed, ROOM * TOKENS);
  }

  private static double inTime(List<Outcome> outcomes) {
    return SimulatedRoom.part(outcomes, Outcome::isInTime);
  }

  private static double served(List<Outcome> outcomes) {
    return SimulatedRoom.part(outcomes, Outcome::isServed);
  }

  /** Answers bursts: more calls come than can be served, for as long as callers have patience. */
  @Nested
  class Bursts {
    @ParameterizedTest
    @CsvSource({"1.3, 1", "1.3, 2", "1.3, 3", "2.0, 1", "2.0, 2", "2.0, 3"})
    void asManyAreServedInTimeAsThereIsRoomFor(double excess, int seed) {
      SimulatedRoom room = room(seed);
      room.setLoads(List.of(new Load("chat", excess * CAPACITY)));
      room.run(RUN_MS);
      assertThat(inTime(room.outcomes())).isGreaterThan(0.9 / excess);
      assertThat(room.outcomes()).noneMatch(Outcome::isStartedForNobody);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.3, 2.0})
    void halfOfTheRejectionsComeWithinTheTarget(double excess) {
      SimulatedRoom room = room(1);
      room.setLoads(List.of(new Load("chat", excess * CAPACITY)));
      room.run(RUN_MS);
      List<Long> waits =
          room.outcomes().stream()
              .filter(Outcome::isRejected)
              .map(Outcome::waitedUntilRejectedMs)
              .sorted()
              .toList();
      assertThat(waits).isNotEmpty();
      assertThat(waits.get(waits.size() / 2)).isLessThan(1_200);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void allAreServedWhenTheBurstIsShort(int seed) {
      SimulatedRoom room = room(seed);
      room.setLoads(List.of(new Load("chat", 2 * CAPACITY)));
      room.run(500);
      room.setLoads(List.of(new Load("chat", 0.5 * CAPACITY)));
      room.run(5_000);
      room.setLoads(List.of());
      room.run(3_000);
      assertThat(served(room.outcomes())).isGreaterThan(0.98);
    }
  }

  /** Answers one tenant that sends seven times its usual, beside others that send theirs. */
  @Nested
  class HotTenant {
    private static final int TENANTS = 16;

    private List<Load> loads(double usual, double factor) {
      List<Load> loads = new ArrayList<>();
      loads.add(new Load("hot", factor * usual).tenant("hot"));
      for (int i = 1; i < TENANTS; i++) {
        loads.add(new Load("t" + i, usual).tenant("t" + i));
      }
      return loads;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void waitsBehindItsOwnCalls(int seed) {
      SimulatedRoom room = room(seed);
      room.setLoads(loads(0.9 * CAPACITY / TENANTS, 7));
      room.run(RUN_MS);
      List<Outcome> others =
          room.outcomes().stream().filter(outcome -> !outcome.name().equals("hot")).toList();
      assertThat(inTime(others)).isGreaterThan(0.95);
      assertThat(served(room.outcomes("hot"))).isGreaterThan(1.0 / 7);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void noTenantIsServedLessThanAQuarterAsOftenAsAll(int seed) {
      SimulatedRoom room = room(seed);
      List<Load> loads = loads(1.2 * CAPACITY / TENANTS, 7);
      loads.add(new Load("small", 1).tenant("small"));
      room.setLoads(loads);
      room.run(RUN_MS);
      double all = served(room.outcomes());
      for (int i = 1; i < TENANTS; i++) {
        assertThat(served(room.outcomes("t" + i))).isGreaterThan(all / 4);
      }
      assertThat(served(room.outcomes("hot"))).isGreaterThan(all / 4);
      assertThat(served(room.outcomes("small"))).isGreaterThan(0.9);
    }
  }

  /** Answers urgent calls that alone would take all room. */
  @Nested
  class Priorities {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void urgentCallsGoFirst(int seed) {
      SimulatedRoom room = room(seed);
      room.setLoads(
          List.of(
              new Load("urgent", 0.6 * CAPACITY).priority(0),
              new Load("other", 0.7 * CAPACITY).priority(2)));
      room.run(RUN_MS);
      assertThat(inTime(room.outcomes("urgent"))).isGreaterThan(0.95);
      assertThat(inTime(room.outcomes("other"))).isGreaterThan(0.9 * 0.4 / 0.7);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void noPriorityIsServedLessThanAQuarterAsOftenAsAll(int seed) {
      SimulatedRoom room = room(seed);
      room.setLoads(
          List.of(
              new Load("urgent", CAPACITY).priority(0), new Load("other", CAPACITY).priority(2)));
      room.run(2 * RUN_MS);
      assertThat(served(room.outcomes("other"))).isGreaterThan(served(room.outcomes()) / 4);
    }
  }

  /** Answers long prompts that find no room where short ones do. */
  @Nested
  class Sizes {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void longCallsAreServedAtLeastHalfAsOftenAsAll(int seed) {
      SimulatedRoom room = room(seed);
      room.setLoads(
          List.of(
              new Load("short", 0.8 * CAPACITY).tokens(TOKENS),
              new Load("long", 0.1 * CAPACITY).tokens(5 * TOKENS)));
      room.run(RUN_MS);
      assertThat(served(room.outcomes("long"))).isGreaterThan(served(room.outcomes()) / 2);
      assertThat(inTime(room.outcomes())).isGreaterThan(0.9 / 1.3);
    }
  }

  /** Answers a call whose target lies far ahead, while calls with near targets take all room. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void callWithAFarTargetIsServedByItsTarget(int seed) {
    SimulatedRoom room = room(seed);
    room.setLoads(List.of(new Load("chat", 1.3 * CAPACITY)));
    room.run(2_000);
    Outcome far = room.add(new Load("report", 0).target(8_000, 30_000));
    room.run(8_000);
    assertThat(far.isInTime()).isTrue();
  }

  /** Answers the loss of half of the endpoints under full load. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void roomThatIsLeftAfterALossIsUsedInTime(int seed) {
    SimulatedRoom room = room(seed);
    room.setLoads(List.of(new Load("chat", 0.9 * CAPACITY)));
    room.run(4_000);
    int before = room.outcomes().size();
    room.setCapacity(ROOM * TOKENS / 2);
    room.run(8_000);
    List<Outcome> after = room.outcomes().subList(before, room.outcomes().size());
    double seconds = (8_000 - SimulatedRoom.WORK_MS) / 1_000.0;
    assertThat(after.stream().filter(Outcome::isInTime).count())
        .isGreaterThan((long) (0.9 * CAPACITY / 2 * seconds));
    assertThat(after).noneMatch(Outcome::isStartedForNobody);
  }

  /** Answers callers who leave while they wait. */
  @Test
  void callsOfCallersWhoLeftLeaveNothingBehind() {
    SimulatedRoom room = room(1);
    room.setLoads(List.of(new Load("chat", 2 * CAPACITY).leaving(0.5)));
    room.run(RUN_MS);
    room.setLoads(List.of());
    room.run(3_000);
    assertThat(room.waiting.size()).isZero();
    assertThat(room.waiting.queues()).isEmpty();
  }
}
