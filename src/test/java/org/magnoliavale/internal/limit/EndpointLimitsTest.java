package org.magnoliavale.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LimitStatement;

class EndpointLimitsTest {
  private static final EndpointIdentity ENDPOINT = new EndpointIdentity("a", 1);
  private static final long NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private FleetView fleet = new FleetView("i1", Set.of(), 0, true, NEWS_NANOS);
  private long now = TimeUnit.SECONDS.toNanos(100);
  private final EndpointLimits limits = new EndpointLimits(nanos -> fleet);

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private void hear(LimitStatement statement) {
    limits.observe(ENDPOINT, statement, now, now);
  }

  /** Sends as many requests as are allowed, asking every 10 ms. */
  private int sendFor(long milliseconds) {
    int sent = 0;
    for (long waited = 0; waited < milliseconds; waited += 10) {
      limits.recordWanted(ENDPOINT, now);
      if (limits.allows(ENDPOINT, now)) {
        limits.take(ENDPOINT);
        sent++;
      }
      advance(10);
    }
    return sent;
  }

  @Nested
  class OnlyInstance {
    @Test
    void sendsAnyNumberToAnEndpointWithoutALimit() {
      assertThat(sendFor(1_000)).isEqualTo(100);
    }

    @Test
    void sendsWhatTheEndpointTakes() {
      hear(LimitStatement.limited(4));
      assertThat(sendFor(10_000)).isBetween(39, 41);
    }

    @Test
    void sendsNoBurstWhenALimitIsNamedOrAfterSilence() {
      hear(LimitStatement.limited(2));
      assertThat(limits.allows(ENDPOINT, now)).isFalse();
      advance(60_000);
      assertThat(sendFor(100)).isEqualTo(1);
    }

    @Test
    void followsALimitThatIsRaisedAndLowered() {
      hear(LimitStatement.limited(2));
      sendFor(1_000);
      hear(LimitStatement.limited(20));
      assertThat(sendFor(5_000)).isBetween(95, 105);
      hear(LimitStatement.limited(1));
      assertThat(sendFor(5_000)).isBetween(4, 10);
    }

    @Test
    void takesARequestBackThatWasNotSent() {
      hear(LimitStatement.limited(1));
      advance(1_000);
      assertThat(limits.allows(ENDPOINT, now)).isTrue();
      limits.take(ENDPOINT);
      assertThat(limits.allows(ENDPOINT, now)).isFalse();
      limits.giveBack(ENDPOINT);
      assertThat(limits.allows(ENDPOINT, now)).isTrue();
    }
  }

  @Nested
  class ResponseThatIsOvertaken {
    @Test
    void liftsNoLimit() {
      long sentNanos = now;
      advance(10);
      hear(LimitStatement.limited(2));
      limits.observe(ENDPOINT, LimitStatement.UNLIMITED, sentNanos, now);
      assertThat(limits.allows(ENDPOINT, now)).isFalse();
    }

    @Test
    void raisesNoLimitButLowersIt() {
      long sentNanos = now;
      advance(10);
      hear(LimitStatement.limited(4));
      limits.observe(ENDPOINT, LimitStatement.limited(40), sentNanos, now);
      assertThat(sendFor(10_000)).isBetween(39, 41);
      limits.observe(ENDPOINT, LimitStatement.limited(1), sentNanos, now);
      assertThat(sendFor(10_000)).isBetween(9, 12);
    }
  }

  @Test
  void limitHoldsUntilAResponseNamesNone() {
    hear(LimitStatement.limited(2));
    advance(3_600_000);
    hear(LimitStatement.UNKNOWN);
    limits.allows(ENDPOINT, now);
    limits.take(ENDPOINT);
    assertThat(limits.allows(ENDPOINT, now)).isFalse();
    advance(1);
    hear(LimitStatement.UNLIMITED);
    assertThat(sendFor(100)).isEqualTo(10);
  }

  @Test
  void unreadableLimitOfAnUnlimitedEndpointChangesNothing() {
    hear(LimitStatement.UNKNOWN);
    assertThat(sendFor(100)).isEqualTo(10);
    assertThat(limits.takeNews()).isFalse();
  }

  @Test
  void responseThatNeedNotNameALimitDoesNotProlongIt() {
    hear(LimitStatement.limited(2));
    advance(1_000);
    hear(LimitStatement.UNKNOWN);
    limits.learn(
        new EndpointLimits.Statement(
            ENDPOINT, OptionalDouble.empty(), TimeUnit.MILLISECONDS.toNanos(500)),
        now);
    assertThat(sendFor(100)).isEqualTo(10);
  }

  @Nested
  class Fleet {
    @Test
    void withoutItsListSendsNothing() {
      fleet = new FleetView("i1", Set.of(), 0, false, NEWS_NANOS);
      hear(LimitStatement.limited(4));
      assertThat(sendFor(10_000)).isZero();
      fleet = new FleetView("i1", Set.of(), 0, true, NEWS_NANOS);
      assertThat(sendFor(5_000)).isBetween(19, 21);
    }

    @Test
    void leavesTheShareOfInstancesThatAreNotHeard() {
      fleet = new FleetView("i1", Set.of(), 3, true, NEWS_NANOS);
      hear(LimitStatement.limited(4));
      assertThat(sendFor(10_000)).isBetween(9, 11);
    }

    @Test
    void leavesTheShareOfAPeerThatHasNotSaidWhatItWouldSend() {
      fleet = new FleetView("i1", Set.of("i2"), 0, true, NEWS_NANOS);
      hear(LimitStatement.limited(4));
      assertThat(sendFor(10_000)).isBetween(19, 21);
    }

    @Test
    void leavesLittleToAPeerWithoutDemand() {
      fleet = new FleetView("i1", Set.of("i2"), 0, true, NEWS_NANOS);
      hear(LimitStatement.limited(4));
      limits.learnDemand("i2", List.of(new EndpointLimits.Demand(ENDPOINT, 0)));
      sendFor(3_000);
      assertThat(sendFor(10_000)).isBetween(36, 41);
    }
  }

  @Nested
  class WhatAPeerHasHeard {
    private EndpointLimits.Statement statement(double limit, long ageMs) {
      return new EndpointLimits.Statement(
          ENDPOINT,
          limit > 0 ? OptionalDouble.of(limit) : OptionalDouble.empty(),
          TimeUnit.MILLISECONDS.toNanos(ageMs));
    }

    @Test
    void isKeptHere() {
      limits.learn(statement(2, 5), now);
      assertThat(limits.allows(ENDPOINT, now)).isFalse();
      limits.learn(statement(0, 0), now);
      assertThat(limits.allows(ENDPOINT, now)).isTrue();
    }

    @Test
    void doesNotReplaceWhatWasHeardLater() {
      hear(LimitStatement.limited(2));
      advance(1_000);
      hear(LimitStatement.UNLIMITED);
      limits.learn(statement(2, 500), now);
      assertThat(limits.allows(ENDPOINT, now)).isTrue();
    }

    @Test
    void isNotToldOn() {
      limits.learn(statement(2, 5), now);
      assertThat(limits.statements(now)).isEmpty();
      assertThat(limits.takeNews()).isFalse();
      assertThat(limits.demands(now)).hasSize(1);
    }

    @Test
    void isToldOnOnceItIsHeardHereToo() {
      limits.learn(statement(2, 5), now);
      hear(LimitStatement.limited(2));
      assertThat(limits.statements(now)).containsExactly(statement(2, 0));
    }
  }

  @Test
  void peersAreToldOfALimitAsLongAsItHoldsAndOfItsEndForAWhile() {
    hear(LimitStatement.limited(2));
    assertThat(limits.takeNews()).isTrue();
    advance(600_000);
    assertThat(limits.statements(now)).hasSize(1);
    hear(LimitStatement.UNLIMITED);
    assertThat(limits.takeNews()).isTrue();
    assertThat(limits.statements(now).getFirst().limit()).isEmpty();
    advance(10_000);
    assertThat(limits.statements(now)).isEmpty();
  }

  @Test
  void limitOfAnIncarnationThatHasEndedIsForgotten() {
    hear(LimitStatement.limited(2));
    limits.forget(ENDPOINT);
    assertThat(limits.allows(ENDPOINT, now)).isTrue();
    assertThat(limits.statements(now)).isEmpty();
  }

  @Nested
  class ExceededLimit {
    @Test
    void isThatOfAnEndpointForWhichAllInstancesHaveMoreCalls() {
      fleet = new FleetView("i1", Set.of("i2"), 0, true, NEWS_NANOS);
      hear(LimitStatement.limited(4));
      assertThat(limits.isExceeded(ENDPOINT)).isFalse();
      limits.learnDemand("i2", List.of(new EndpointLimits.Demand(ENDPOINT, 4.1)));
      assertThat(limits.isExceeded(ENDPOINT)).isTrue();
      hear(LimitStatement.limited(5));
      assertThat(limits.isExceeded(ENDPOINT)).isFalse();
      sendFor(5_000);
      assertThat(limits.isExceeded(ENDPOINT)).isTrue();
      hear(LimitStatement.UNLIMITED);
      assertThat(limits.isExceeded(ENDPOINT)).isFalse();
    }
  }
}
