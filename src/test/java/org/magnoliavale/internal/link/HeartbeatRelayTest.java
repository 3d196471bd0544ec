package org.magnoliavale.internal.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.link.protocol.ArtifactUse;
import org.magnoliavale.internal.link.protocol.CrashRecord;
import org.magnoliavale.internal.link.protocol.DepartedEndpoint;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RelayedHeartbeat;
import org.magnoliavale.internal.link.protocol.ResidencyChange;
import org.magnoliavale.internal.link.protocol.RevokedKey;

class HeartbeatRelayTest {
  private static final long START_NANOS = TimeUnit.HOURS.toNanos(1);

  private final HeartbeatRelay relay = new HeartbeatRelay("self");
  private final HeartbeatRelay.Progress progress = new HeartbeatRelay.Progress();

  private static Heartbeat.Builder heartbeat(long number) {
    return Heartbeat.newBuilder().setStartedMs(1_000).setNumber(number);
  }

  private static long at(long milliseconds) {
    return START_NANOS + TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private boolean acceptDirect(String origin, Heartbeat.Builder heartbeat, long atMs) {
    return relay.accept(origin, heartbeat.build(), origin, 0, at(atMs));
  }

  private boolean acceptRelayed(String origin, Heartbeat.Builder heartbeat, long ageMs, long atMs) {
    return relay.accept(origin, heartbeat.build(), "relay", ageMs, at(atMs));
  }

  private List<RelayedHeartbeat> pending(String peer, boolean demand, long atMs) {
    return pending(new HeartbeatRelay.Receiver(peer, demand, false, false, origin -> true), atMs);
  }

  private List<RelayedHeartbeat> pendingForRelay(String peer, long atMs) {
    return pending(new HeartbeatRelay.Receiver(peer, false, true, false, origin -> true), atMs);
  }

  private List<RelayedHeartbeat> pendingForReserve(String peer, long atMs) {
    return pending(new HeartbeatRelay.Receiver(peer, true, false, true, origin -> true), atMs);
  }

  private List<RelayedHeartbeat> pending(HeartbeatRelay.Receiver receiver, long atMs) {
    return relay.takePending(receiver, progress, at(atMs));
  }

  @Nested
  class Accepting {
    @Test
    void takesANewerHeartbeatOnce() {
      assertThat(acceptRelayed("a", heartbeat(2), 10, 0)).isTrue();
      assertThat(acceptRelayed("a", heartbeat(2), 10, 5)).isFalse();
      assertThat(acceptRelayed("a", heartbeat(1), 10, 5)).isFalse();
      assertThat(acceptRelayed("a", heartbeat(3), 10, 5)).isTrue();
    }

    @Test
    void takesARestartedInstanceAndNoEarlierRunAfterIt() {
      acceptRelayed("a", heartbeat(9), 0, 0);
      assertThat(acceptRelayed("a", heartbeat(1).setStartedMs(2_000), 0, 10)).isTrue();
      assertThat(acceptRelayed("a", heartbeat(10), 0, 20)).isFalse();
    }

    @Test
    void takesARestartedInstanceWhoseClockWentBackOnceTheEarlierRunIsSilent() {
      acceptRelayed("a", heartbeat(9), 0, 0);
      assertThat(acceptRelayed("a", heartbeat(1).setStartedMs(500), 0, 10)).isFalse();
      assertThat(acceptRelayed("a", heartbeat(2).setStartedMs(500), 0, 2_100)).isTrue();
    }

    @Test
    void takesWhatItsSenderSendsItselfWithoutNumbers() {
      Heartbeat.Builder unnumbered = Heartbeat.newBuilder();
      assertThat(acceptDirect("a", unnumbered, 0)).isTrue();
      assertThat(acceptDirect("a", unnumbered, 500)).isTrue();
    }

    @Test
    void ignoresItsOwnHeartbeatAndExpiredOnes() {
      assertThat(acceptRelayed("self", heartbeat(5), 0, 0)).isFalse();
      assertThat(acceptRelayed("a", heartbeat(5), HeartbeatRelay.EXPIRY_MS + 1, 0)).isFalse();
    }
  }

  @Nested
  class PassingOn {
    @Test
    void sendsEachHeartbeatOnceOnALink() {
      acceptDirect("a", heartbeat(1), 0);
      assertThat(pending("b", false, 10)).hasSize(1);
      assertThat(pending("b", false, 3_000)).isEmpty();
    }

    @Test
    void sendsNothingBackToWhereItCameFrom() {
      acceptDirect("a", heartbeat(1), 0);
      acceptRelayed("c", heartbeat(1), 5, 0);
      assertThat(pending("a", false, 10))
          .extracting(RelayedHeartbeat::getInstance)
          .containsExactly("c");
      assertThat(pending("relay", false, 10))
          .extracting(RelayedHeartbeat::getInstance)
          .containsExactly("a");
    }

    @Test
    void refreshesSlowlyWhatDoesNotMatterAtOnce() {
      acceptDirect("a", heartbeat(1), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2), 500);
      assertThat(pending("b", false, 500)).isEmpty();
      acceptDirect("a", heartbeat(5), 2_000);
      assertThat(pending("b", false, 2_000)).hasSize(1);
    }

    @Test
    void sendsHoldersLeaversAndCrashesAtOnce() {
      pending("b", false, 0);
      acceptDirect("a", heartbeat(1), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2).setGivesOrders(true), 100);
      assertThat(pending("b", false, 100)).hasSize(1);
      acceptDirect("a", heartbeat(3).setLeaving(true), 200);
      assertThat(pending("b", false, 200)).hasSize(1);
    }

    @Test
    void sendsEachResidencyChangeOnceOnALink() {
      acceptDirect("a", heartbeat(1).setGivesOrders(true).addChanges(change(1)), 0);
      assertThat(pending("b", false, 0)).flatExtracting(this::changes).containsExactly(1L);
      Heartbeat.Builder next = heartbeat(2).setGivesOrders(true);
      acceptDirect("a", next.addChanges(change(1)).addChanges(change(2)), 100);
      assertThat(pending("b", false, 100)).flatExtracting(this::changes).containsExactly(2L);
    }

    @Test
    void sendsEveryResidencyChangeToARelayWhichPassesItOn() {
      acceptDirect("a", heartbeat(1).setGivesOrders(true).addChanges(change(1)), 0);
      pendingForRelay("b", 0);
      Heartbeat.Builder next = heartbeat(2).setGivesOrders(true);
      acceptDirect("a", next.addChanges(change(1)).addChanges(change(2)), 100);
      assertThat(pendingForRelay("b", 100)).flatExtracting(this::changes).containsExactly(1L, 2L);
    }

    @Test
    void sendsAllNewsAgainOfAnInstanceThatHasRestarted() {
      acceptDirect("a", heartbeat(1).addChanges(change(7)).addCrashes(crash("e@1", 0)), 0);
      pending("b", false, 0);
      Heartbeat.Builder restarted = heartbeat(1).setStartedMs(2_000);
      acceptDirect("a", restarted.addChanges(change(7)).addCrashes(crash("e@1", 100)), 100);
      assertThat(pending("b", false, 100))
          .singleElement()
          .extracting(RelayedHeartbeat::getHeartbeat)
          .returns(1, Heartbeat::getChangesCount)
          .returns(1, Heartbeat::getCrashesCount);
    }

    @Test
    void sendsALeaseHolderWithoutNewsInEachInterval() {
      acceptDirect("a", heartbeat(1).setGivesOrders(true), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2).setGivesOrders(true), 100);
      assertThat(pending("b", false, 100)).isEmpty();
      acceptDirect("a", heartbeat(3).setGivesOrders(true), 500);
      assertThat(pending("b", false, 500)).hasSize(1);
    }

    @Test
    void sendsACrashAtOnceAndDoesNotRepeatIt() {
      acceptDirect("a", heartbeat(1), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2).addCrashes(crash("e@1", 10)), 100);
      assertThat(pending("b", false, 100))
          .singleElement()
          .extracting(sent -> sent.getHeartbeat().getCrashesCount())
          .isEqualTo(1);
      acceptDirect("a", heartbeat(3).addCrashes(crash("e@1", 510)), 600);
      assertThat(pending("b", false, 600)).isEmpty();
      acceptDirect("a", heartbeat(4).addCrashes(crash("e@1", 2_010)), 2_100);
      assertThat(pending("b", false, 2_100))
          .singleElement()
          .extracting(sent -> sent.getHeartbeat().getCrashesCount())
          .isEqualTo(0);
    }

    @Test
    void sendsAFurtherCrashOfARequestAtOnce() {
      acceptDirect("a", heartbeat(1).addCrashes(crash("e@1", 10)), 0);
      pending("b", false, 0);
      CrashRecord further = crash("e@1", 0).toBuilder().addIncarnations("f@1").build();
      acceptDirect("a", heartbeat(2).addCrashes(further), 100);
      assertThat(pending("b", false, 100)).hasSize(1);
    }

    @Test
    void sendsOneWhomAnotherRelayTellsOnlyWhoLives() {
      acceptDirect("a", heartbeat(1), 0);
      acceptDirect("holder", heartbeat(1).setGivesOrders(true), 0);
      assertThat(pendingForReserve("b", 0)).hasSize(2);
      acceptDirect("a", heartbeat(2).setLeaving(true).addCrashes(crash("e@1", 0)), 100);
      acceptDirect("holder", heartbeat(2).setGivesOrders(true).addChanges(change(1)), 100);
      Heartbeat.Builder own = heartbeat(1);
      LoadRows.add(own, new LoadRows.Row(7, 40, 1, 2, 3, 100));
      relay.recordOwn(own.build(), at(100));
      assertThat(pendingForReserve("b", 100))
          .extracting(RelayedHeartbeat::getInstance)
          .containsExactly("self");
      assertThat(pendingForReserve("b", 1_900)).isEmpty();
      assertThat(pendingForReserve("b", 2_000))
          .extracting(RelayedHeartbeat::getInstance)
          .containsExactlyInAnyOrder("a", "holder");
    }

    @Test
    void sendsASurrenderedLeaseAtOnce() {
      acceptDirect("a", heartbeat(1).setGivesOrders(true), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2).setSurrenderedEpoch(3), 100);
      assertThat(pending("b", false, 100)).hasSize(1);
    }

    private static ResidencyChange change(long number) {
      return ResidencyChange.newBuilder().setNumber(number).setArtifact("model").build();
    }

    private static CrashRecord crash(String incarnation, long ageMs) {
      return CrashRecord.newBuilder()
          .setFingerprint(ByteString.copyFrom(new byte[16]))
          .addIncarnations(incarnation)
          .setAgeMs(ageMs)
          .build();
    }

    private List<Long> changes(RelayedHeartbeat relayed) {
      return relayed.getHeartbeat().getChangesList().stream()
          .map(ResidencyChange::getNumber)
          .toList();
    }

    @Test
    void sendsADepartedEndpointAtOnceAndRepeatsItSlowly() {
      DepartedEndpoint departed =
          DepartedEndpoint.newBuilder().setEndpoint("e@1").setHeartbeat(4).build();
      acceptDirect("a", heartbeat(1), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2).addDepartedEndpoints(departed), 100);
      assertThat(pending("b", false, 100)).hasSize(1);
      acceptDirect("a", heartbeat(3).addDepartedEndpoints(departed), 600);
      assertThat(pending("b", false, 600)).isEmpty();
    }

    @Test
    void sendsAKeyThatWasTakenAwayAtOnceAndRepeatsItSlowly() {
      RevokedKey revoked =
          RevokedKey.newBuilder()
              .setFingerprint(ByteString.copyFrom(new byte[16]))
              .setVersion(4)
              .build();
      acceptDirect("a", heartbeat(1), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2).addRevokedKeys(revoked), 100);
      assertThat(pending("b", false, 100)).hasSize(1);
      acceptDirect("a", heartbeat(3).addRevokedKeys(revoked), 600);
      assertThat(pending("b", false, 600)).isEmpty();
    }

    @Test
    void sendsANewerConfigurationAtOnceAndRepeatsItSlowly() {
      acceptDirect("a", heartbeat(1).setConfigurationVersion(4), 0);
      pending("b", false, 0);
      acceptDirect("a", heartbeat(2).setConfigurationVersion(5), 100);
      assertThat(pending("b", false, 100)).hasSize(1);
      acceptDirect("a", heartbeat(3).setConfigurationVersion(5), 600);
      assertThat(pending("b", false, 600)).isEmpty();
    }

    @Test
    void sendsDemandOnlyToThoseThatNeedIt() {
      ArtifactUse use = ArtifactUse.newBuilder().setArtifact("model").setWaiting(1).build();
      acceptDirect("a", heartbeat(1).addUses(use), 0);
      assertThat(pending("b", false, 0).getFirst().getHeartbeat().getUsesCount()).isZero();
      acceptDirect("a", heartbeat(2).addUses(use), 100);
      assertThat(pending("b", true, 100).getFirst().getHeartbeat().getUsesCount()).isOne();
    }

    @Test
    void sendsItsOwnHeartbeatWithLoadsAtOnceAndThoseOfOthersWithoutLoads() {
      LoadRows.Row row = new LoadRows.Row(7, 40, 1, 2, 3, 100);
      for (int number = 1; number <= 3; number++) {
        Heartbeat.Builder own = heartbeat(number);
        LoadRows.add(own, row);
        relay.recordOwn(own.build(), at(100 * number));
        assertThat(pending("b", false, 100 * number))
            .singleElement()
            .satisfies(sent -> assertThat(LoadRows.of(sent.getHeartbeat())).containsExactly(row));
      }
      Heartbeat.Builder other = heartbeat(1);
      LoadRows.add(other, row);
      acceptDirect("a", other, 400);
      assertThat(pending("b", false, 400))
          .singleElement()
          .satisfies(sent -> assertThat(LoadRows.of(sent.getHeartbeat())).isEmpty());
    }

    @Test
    void addsUpTheAgeAndForgetsAFailedInstance() {
      acceptRelayed("a", heartbeat(1), 1_000, 0);
      assertThat(pending("b", false, 500).getFirst().getAgeMs()).isEqualTo(1_500);
      assertThat(pending("c", false, 3_100)).isEmpty();
    }
  }
}
