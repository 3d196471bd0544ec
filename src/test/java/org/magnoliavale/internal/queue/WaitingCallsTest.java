package org.magnoliavale.internal.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.identifier.TenantId;

class WaitingCallsTest {
  private static final QueueId QUEUE = SimulatedRoom.QUEUE;
  private static final QueueId OTHER_QUEUE =
      new QueueId(new ServiceId("assistant"), Optional.of(Artifact.parse("n")));

  private final WaitingCalls waiting = new WaitingCalls();

  /** Close to the largest number, beyond which the clock goes on with the least one. */
  private long now = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(1);

  private long lastNumber;

  private WaitingCall add(QueueId queue, String tenant, int priority, long targetMs) {
    long latestStart = now + TimeUnit.MILLISECONDS.toNanos(targetMs);
    WaitingCall call =
        new WaitingCall(
            ++lastNumber,
            queue,
            tenant.isEmpty() ? Optional.empty() : Optional.of(new TenantId(tenant)),
            1,
            priority,
            1_000,
            latestStart,
            latestStart,
            now + TimeUnit.SECONDS.toNanos(10));
    waiting.add(call, now);
    return call;
  }

  private WaitingCall add(int priority, long targetMs) {
    return add(QUEUE, "", priority, targetMs);
  }

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private List<WaitingCall> drain() {
    List<WaitingCall> served = new ArrayList<>();
    Optional<WaitingCall> first = waiting.first(waiting.queues(), Set.of(), now);
    while (first.isPresent()) {
      served.add(first.get());
      assertThat(waiting.served(first.get(), Set.of(), now)).isTrue();
      first = waiting.first(waiting.queues(), Set.of(), now);
    }
    return served;
  }

  @Nested
  class Order {
    @Test
    void isByPriorityThenByTarget() {
      WaitingCall later = add(1, 300);
      WaitingCall sooner = add(1, 200);
      WaitingCall urgent = add(0, 400);
      assertThat(drain()).containsExactly(urgent, sooner, later);
    }

    @Test
    void putsCallsThatAreLateAfterThoseInTime() {
      WaitingCall late = add(1, 100);
      WaitingCall inTime = add(1, 2_000);
      advance(500);
      assertThat(drain()).containsExactly(inTime, late);
    }

    @Test
    void isKeptWhenTheClockPassesTheLargestNumber() {
      WaitingCall before = add(1, 900);
      WaitingCall after = add(1, 1_100);
      assertThat(drain()).containsExactly(before, after);
    }

    @Test
    void coversAllQueuesThatAnEndpointCanServe() {
      WaitingCall later = add(QUEUE, "", 1, 300);
      WaitingCall sooner = add(OTHER_QUEUE, "", 1, 200);
      assertThat(waiting.first(List.of(QUEUE), Set.of(), now)).contains(later);
      assertThat(waiting.first(List.of(QUEUE, OTHER_QUEUE), Set.of(), now)).contains(sooner);
    }

    @Test
    void takesTenantsInTurn() {
      for (int i = 0; i < 40; i++) {
        add(QUEUE, "large", 1, 100 + i);
      }
      for (int i = 0; i < 5; i++) {
        add(QUEUE, "small", 1, 500 + i);
      }
      List<WaitingCall> firstOfAll = drain().subList(0, 15);
      assertThat(firstOfAll.stream().filter(call -> call.tenant().get().value().equals("small")))
          .hasSize(5);
    }
  }

  @Nested
  class CallThatFindsNoRoom {
    @Test
    void isPassedOnlyAFewTimes() {
      WaitingCall large = add(1, 100);
      int passed = 0;
      while (waiting.mayBePassed(large)) {
        WaitingCall small = add(1, 200);
        assertThat(waiting.first(List.of(QUEUE), Set.of(large), now)).contains(small);
        waiting.served(small, Set.of(large), now);
        passed++;
      }
      assertThat(passed).isBetween(1, 16);
    }
  }

  @Nested
  class Forecast {
    @Test
    void isUnknownWhileNothingIsLoaded() {
      WaitingCall call = add(1, 500);
      assertThat(waiting.forecast(call, now)).isEmpty();
      waiting.block(QUEUE, new Blockage.NotLoaded(OptionalLong.empty()), now);
      assertThat(waiting.forecast(call, now)).isEmpty();
    }

    @Test
    void isTheEndOfTheLoadIfThatIsKnown() {
      WaitingCall call = add(1, 500);
      long end = now + TimeUnit.SECONDS.toNanos(3);
      waiting.block(QUEUE, new Blockage.NotLoaded(OptionalLong.of(end)), now);
      assertThat(waiting.forecast(call, now).get().timeToStart()).isEqualTo(Duration.ofSeconds(3));
    }

    @Test
    void growsWithTheCallsThatGoBefore() {
      waiting.block(QUEUE, new Blockage.NoRoom(now), now);
      for (int i = 0; i < 100; i++) {
        add(1, 10_000 + i);
        waiting.block(QUEUE, new Blockage.NoRoom(now), now);
      }
      for (int i = 0; i < 50; i++) {
        advance(20);
        waiting.served(waiting.first(List.of(QUEUE), Set.of(), now).get(), Set.of(), now);
      }
      WaitingCall last = add(1, 20_000);
      WaitForecast forecast = waiting.forecast(last, now).get();
      assertThat(forecast.ahead()).isEqualTo(50);
      assertThat(forecast.timeToStart())
          .isBetween(Duration.ofMillis(700), Duration.ofMillis(1_300));
    }
  }

  /** Answers ten thousand callers of many tenants who wait at one instance, and leave at random. */
  @Test
  void tenThousandCallsAreServedOrRemovedOnce() {
    Random random = new Random(1);
    List<WaitingCall> calls = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      calls.add(
          add(
              i % 3 == 0 ? QUEUE : OTHER_QUEUE,
              "t" + random.nextInt(50),
              random.nextInt(3),
              random.nextInt(3_000)));
    }
    assertThat(waiting.size()).isEqualTo(10_000);
    int removed = 0;
    for (WaitingCall call : calls) {
      if (random.nextBoolean()) {
        assertThat(waiting.remove(call, now)).isTrue();
        assertThat(waiting.remove(call, now)).isFalse();
        removed++;
      }
    }
    advance(1_500);
    assertThat(drain()).hasSize(10_000 - removed).doesNotHaveDuplicates();
    assertThat(waiting.size()).isZero();
    assertThat(waiting.queues()).isEmpty();
  }
}
