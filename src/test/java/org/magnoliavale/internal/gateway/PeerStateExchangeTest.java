package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.call.ArtifactDemand;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointDirectory;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.dispatch.SelectionCriteria;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.lease.LeaseManager;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.link.Membership;
import org.magnoliavale.internal.residency.FleetDemand;
import org.magnoliavale.internal.residency.ResidencyChangeLog;

class PeerStateExchangeTest {
  private static final int LIMIT = 1_000;
  private static final int CHOICES = 50;

  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private final Peer east = new Peer("east-1");
  private final Peer west = new Peer("west-1");

  /** What one instance knows of the endpoints and tells its peers; it never holds the lease. */
  private final class Peer {
    private final String id;
    private final EndpointDepartures departures = new EndpointDepartures();
    private final EndpointDirectory directory = new EndpointDirectory(departures);
    private final EndpointPool pool = new EndpointPool("east", () -> 2, departures, new Random(1));
    private final PeerStateExchange exchange;

    Peer(String id) {
      this.id = id;
      exchange =
          new PeerStateExchange(
              id,
              new Membership(Duration.ofSeconds(5)),
              new CrashRegistry(id, InstantSource.system()),
              new ArtifactDemand(() -> {}),
              new FleetDemand(),
              pool,
              departures,
              () -> nowNanos);
      LeaseTimes times = LeaseTimes.of(Duration.ofSeconds(3), Duration.ofMillis(200));
      exchange.initialize(
          new CommandLeaseManager(
              new LeaseManager("orders", id, times, new Random(1)), new FakeTable(), () -> true),
          new ResidencyChangeLog(),
          () -> {},
          () -> {});
    }

    void read(DirectoryEntry... listed) {
      pool.update(directory.update(List.of(listed), nowNanos), nowNanos);
    }

    void failRead() {
      directory.markUnavailable();
    }

    void tell(Peer other) {
      other.exchange.heartbeatReceived(id, exchange.heartbeat());
    }

    Set<String> endpointsInUse() {
      GenerationRequest generation = new GenerationRequest(Artifact.parse("m"), 100, 10, List.of());
      SelectionCriteria criteria =
          new SelectionCriteria(TestEntries.SERVICE, Optional.of(generation), Set.of());
      Set<String> chosen = new HashSet<>();
      for (int i = 0; i < CHOICES; i++) {
        if (pool.choose(criteria, LIMIT, nowNanos) instanceof EndpointChoice.Selected selected) {
          chosen.add(selected.endpoint().identity().id());
        }
      }
      return chosen;
    }
  }

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
  void endpointWhoseEntryNoInstanceHasSeenRemovedIsKeptAfterAnUnavailableStore() {
    for (Peer peer : List.of(east, west)) {
      peer.read(TestEntries.entry("a", 4, "m"));
      peer.failRead();
      peer.read();
    }
    east.tell(west);
    assertThat(west.endpointsInUse()).containsExactly("a");
  }
}
