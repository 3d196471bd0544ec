package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.TestEntries;

class PeerStateExchangeTest {
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private final FleetPeer east = new FleetPeer("east-1", () -> nowNanos);
  private final FleetPeer west = new FleetPeer("west-1", () -> nowNanos);

  @Nested
  class EndpointThatLeavesWhileAnInstanceIsCutFromTheStore {
    @Test
    void getsNoRequestsFromItOnceAPeerHasSeenItLeave() {
      east.read(TestEntries.entry("a", 4, "m"), TestEntries.entry("b", 4, "m"));
      west.read(TestEntries.entry("a", 4, "m"), TestEntries.entry("b", 4, "m"));
      west.failRead();
      east.read(TestEntries.entry("b", 5, "m"));
      east.tell(west);
      assertThat(west.endpointsInUse()).containsExactly("b");
      west.read(TestEntries.entry("b", 5, "m"));
      assertThat(west.endpointsInUse()).containsExactly("b");
    }

    @Test
    void getsRequestsAgainWithANewerEntry() {
      east.read(TestEntries.entry("a", 4, "m"));
      west.read(TestEntries.entry("a", 4, "m"));
      east.read();
      east.tell(west);
      assertThat(west.endpointsInUse()).isEmpty();
      west.read(TestEntries.entry("a", 5, "m"));
      assertThat(west.endpointsInUse()).containsExactly("a");
    }
  }

  @Test
  void endpointThatAnyInstanceHasSeenDrainingGetsNoRequestsFromItsPeers() {
    east.read(TestEntries.entry("a", 4, "m"), TestEntries.entry("b", 4, "m"));
    west.read(TestEntries.entry("a", 4, "m"), TestEntries.entry("b", 4, "m"));
    east.read(TestEntries.draining("a", 5, "m"), TestEntries.entry("b", 5, "m"));
    east.tell(west);
    assertThat(west.endpointsInUse()).containsExactly("b");
  }

  @Test
  void endpointThatHasToldAnInstanceThatItLeavesGetsNoRequestsFromItsPeers() {
    east.read(TestEntries.entry("a", 4, "m"), TestEntries.entry("b", 4, "m"));
    west.read(TestEntries.entry("a", 4, "m"), TestEntries.entry("b", 4, "m"));
    assertThat(east.hearLeaving("a")).isTrue();
    assertThat(east.endpointsInUse()).containsExactly("b");
    east.tell(west);
    assertThat(west.endpointsInUse()).containsExactly("b");
    west.read(TestEntries.entry("a", 5, "m"), TestEntries.entry("b", 5, "m"));
    assertThat(west.endpointsInUse()).containsExactly("b");
  }

  @Test
  void endpointWhoseEntryNoInstanceHasSeenRemovedIsKeptAfterAnUnavailableStore() {
    for (FleetPeer peer : List.of(east, west)) {
      peer.read(TestEntries.entry("a", 4, "m"));
      peer.failRead();
      peer.read();
    }
    east.tell(west);
    assertThat(west.endpointsInUse()).containsExactly("a");
  }
}
