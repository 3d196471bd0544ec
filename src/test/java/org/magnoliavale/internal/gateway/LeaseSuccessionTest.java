package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.TableResult;

class LeaseSuccessionTest {
  private static final LeaseTimes TIMES =
      LeaseTimes.of(Duration.ofSeconds(3), Duration.ofMillis(200));

  private final FakeTable table = new FakeTable();
  private long now = 1_000;

  private LeaseManager manager(String self) {
    return new LeaseManager("orders", self, TIMES, new Random(1)).reclaimingOwnLease();
  }

  private void tick(LeaseManager manager) {
    Optional<TableCall> call = manager.tick(now);
    while (call.isPresent()) {
      call = manager.callCompleted(call.get().execute(table), now);
    }
  }

  @Test
  void restartedHolderReacquiresItsLeaseWithHigherFencingToken() {
    LeaseManager first = manager("front-1/a");
    tick(first);
    assertThat(first.isHeld(now)).isTrue();
    long token = first.epoch();
    now += 100;
    LeaseManager second = manager("front-1/b");
    tick(second);
    assertThat(second.isHeld(now)).isTrue();
    assertThat(second.epoch()).isGreaterThan(token);
  }

  @Test
  void otherInstanceWaitsUntilLeaseExpires() {
    tick(manager("front-1/a"));
    LeaseManager other = manager("front-10/b");
    for (int waited = 0; waited < 3_200; waited += 100) {
      tick(other);
      assertThat(other.isHeld(now)).isFalse();
      now += 100;
    }
    now += 2_000;
    tick(other);
    assertThat(other.isHeld(now)).isTrue();
  }

  @Test
  void surrenderedLeaseIsAcquiredAtOnceAndNotResumedByFormerHolder() {
    LeaseManager holder = manager("front-1/a").withActingLimit(1_900);
    tick(holder);
    long epoch = holder.epoch();
    LeaseManager other = manager("front-2/b");
    tick(other);
    now += 1_900;
    assertThat(holder.isHeld(now)).isFalse();
    assertThat(holder.surrender(now)).isTrue();
    assertThat(holder.surrenderedEpoch()).isEqualTo(epoch);
    other.observeSurrender(holder.surrenderedEpoch());
    tick(other);
    assertThat(other.isHeld(now)).isTrue();
    assertThat(other.epoch()).isGreaterThan(epoch);
    tick(holder);
    assertThat(holder.isHeld(now)).isFalse();
  }

  @Test
  void holderThatGivesItsLeaseUpIsSucceededAtOnce() {
    LeaseManager holder = manager("front-1/a").withActingLimit(1_900);
    tick(holder);
    long epoch = holder.epoch();
    LeaseManager other = manager("front-2/b");
    tick(other);
    holder.giveUp(now);
    assertThat(holder.isHeld(now)).isFalse();
    other.observeSurrender(holder.surrenderedEpoch());
    tick(other);
    assertThat(other.isHeld(now)).isTrue();
    assertThat(other.epoch()).isGreaterThan(epoch);
  }

  @Test
  void leaseIsNeitherHeldNorTakenWhileItIsSuspended() throws InterruptedException {
    CommandLeaseManager lease =
        new CommandLeaseManager(
            manager("front-1/a"), table, () -> false, GatewayFixture.failures());
    lease.start();
    awaitHeld(lease);
    long epoch = lease.fencingToken();
    lease.setSuspended(true);
    assertThat(lease.isHeld()).isFalse();
    assertThat(lease.surrenderedEpoch()).isEqualTo(epoch);
    assertThat(lease.consumeSurrendered()).isTrue();
    lease.setSuspended(false);
    awaitHeld(lease);
    assertThat(lease.fencingToken()).isGreaterThan(epoch);
    lease.stop();
  }

  private static void awaitHeld(CommandLeaseManager lease) throws InterruptedException {
    for (int check = 0; check < 1_000 && !lease.isHeld(); check++) {
      Thread.sleep(10);
    }
    assertThat(lease.isHeld()).isTrue();
  }

  @Test
  void renewalConfirmedAfterSurrenderDoesNotRestoreEpoch() {
    LeaseManager holder = manager("front-1/a").withActingLimit(1_900);
    tick(holder);
    long epoch = holder.epoch();
    now += 1_000;
    TableCall renewal = holder.tick(now).orElseThrow();
    now += 900;
    assertThat(holder.surrender(now)).isTrue();
    holder.callCompleted(renewal.execute(table), now);
    assertThat(holder.isHeld(now)).isFalse();
    tick(holder);
    assertThat(holder.epoch()).isGreaterThan(epoch);
  }

  @Test
  void renewalWithLostResponseDoesNotRestoreEpoch() {
    LeaseManager holder = manager("front-1/a").withActingLimit(1_900);
    tick(holder);
    long epoch = holder.epoch();
    now += 1_000;
    TableCall renewal = holder.tick(now).orElseThrow();
    renewal.execute(table);
    TableCall leaseRead =
        holder.callCompleted(new TableResult.OutcomeUnknown("lost"), now).orElseThrow();
    now += 900;
    assertThat(holder.surrender(now)).isTrue();
    Optional<TableCall> next = holder.callCompleted(leaseRead.execute(table), now);
    assertThat(holder.isHeld(now)).isFalse();
    while (next.isPresent()) {
      next = holder.callCompleted(next.get().execute(table), now);
    }
    assertThat(holder.epoch()).isGreaterThan(epoch);
  }

  @Test
  void waitStartsWhenRenewalIsReported() {
    LeaseManager holder = manager("front-1/a");
    tick(holder);
    LeaseManager other = manager("front-2/b");
    other.observeRenewal(holder.leaseRowVersion(), now);
    now += 3_200;
    tick(other);
    assertThat(other.isHeld(now)).isTrue();
  }

  @Test
  void unreportedRenewalRestartsWait() {
    LeaseManager holder = manager("front-1/a");
    tick(holder);
    LeaseManager other = manager("front-2/b");
    other.observeRenewal(holder.leaseRowVersion(), now);
    now += 1_000;
    tick(holder);
    now += 2_300;
    tick(other);
    assertThat(other.isHeld(now)).isFalse();
  }

  @Test
  void holderWhoseFenceIsRejectedTakesAHigherOneButNotAgainAndAgain() {
    LeaseManager holder = manager("front-1/a");
    tick(holder);
    long rejected = holder.epoch();
    int surrendered = 0;
    for (int waited = 0; waited < 60_000; waited += 100) {
      long before = holder.epoch();
      holder.fencedOff(before, now);
      tick(holder);
      surrendered += holder.epoch() > before ? 1 : 0;
      assertThat(holder.isHeld(now)).isTrue();
      now += 100;
    }
    assertThat(holder.epoch()).isGreaterThan(rejected);
    assertThat(surrendered).isBetween(2, 6);
  }

  @Test
  void rejectionOfAnEarlierFenceIsNoNews() {
    LeaseManager holder = manager("front-1/a");
    tick(holder);
    holder.fencedOff(holder.epoch() - 1, now);
    assertThat(holder.isHeld(now)).isTrue();
  }
}
