package org.magnoliavale.internal.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.platform.ListedInstance;

class LinkTopologyTest {
  private static List<ListedInstance> fleet(int dataCentres, int perDataCentre) {
    List<ListedInstance> fleet = new ArrayList<>();
    for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
      for (int number = 0; number < perDataCentre; number++) {
        fleet.add(
            new ListedInstance(
                "front-" + dataCentre + "-" + number, "127.0.0.1:1", "live", "dc-" + dataCentre));
      }
    }
    return fleet;
  }

  private static LinkTopology topology(String self, List<ListedInstance> fleet) {
    return LinkTopology.of(self, fleet, id -> true, false);
  }

  @Nested
  class SmallFleet {
    @Test
    void connectsEachInstanceToAllOthers() {
      List<ListedInstance> fleet = fleet(3, 4);
      LinkTopology topology = topology("front-0-0", fleet);
      assertThat(topology.mesh()).isTrue();
      assertThat(topology.targets()).hasSize(11).doesNotContain("front-0-0");
    }

    @Test
    void isMeshBeforeTheListWasRead() {
      assertThat(LinkTopology.empty().targets()).isEmpty();
    }
  }

  @Nested
  class LargeFleet {
    private final List<ListedInstance> fleet = fleet(5, 19);

    @Test
    void namesTwoRelaysForEachDataCentre() {
      LinkTopology topology = topology("front-0-0", fleet);
      assertThat(topology.mesh()).isFalse();
      for (int dataCentre = 0; dataCentre < 5; dataCentre++) {
        String prefix = "front-" + dataCentre + "-";
        assertThat(topology.relays()).filteredOn(id -> id.startsWith(prefix)).hasSize(2);
      }
    }

    @Test
    void connectsRelaysToEachOtherAndTheRestToTheRelaysOfTheirDataCentre() {
      for (ListedInstance instance : fleet) {
        LinkTopology topology = topology(instance.id(), fleet);
        if (topology.isRelay(instance.id())) {
          assertThat(topology.targets()).hasSize(9);
        } else {
          assertThat(topology.targets())
              .hasSize(2)
              .allMatch(relay -> topology.isSameDataCentre(relay, instance.id()));
        }
      }
    }

    @Test
    void agreesAmongInstancesWithTheSameList() {
      LinkTopology first = topology("front-0-0", fleet);
      assertThat(fleet)
          .allSatisfy(
              instance ->
                  assertThat(topology(instance.id(), fleet).relays()).isEqualTo(first.relays()));
    }

    @Test
    void replacesAnUnreachableRelayByTheNextOfItsDataCentre() {
      String self = "front-0-0";
      LinkTopology before = topology(self, fleet);
      String failed = before.targets().iterator().next();
      LinkTopology after = LinkTopology.of(self, fleet, id -> !id.equals(failed), false);
      assertThat(after.targets()).hasSize(2).doesNotContain(failed);
    }

    @Test
    void connectsAnInstanceThatServesOthersToAllRelays() {
      String follower =
          fleet.stream()
              .map(ListedInstance::id)
              .filter(id -> !topology(id, fleet).isRelay(id))
              .findFirst()
              .orElseThrow();
      assertThat(LinkTopology.of(follower, fleet, id -> true, true).targets()).hasSize(10);
    }

    @Test
    void relaysForItselfWhereNoOtherInstanceIsReachable() {
      LinkTopology topology = LinkTopology.of("front-0-0", fleet, id -> false, false);
      assertThat(topology.relays()).containsExactly("front-0-0");
      assertThat(topology.targets()).isEmpty();
    }
  }

  @Test
  void readsRowsOfOlderInstancesWithoutDataCentre() {
    List<ListedInstance> fleet = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      fleet.add(new ListedInstance("front-" + number, "127.0.0.1:1", "live", null));
    }
    assertThat(topology("front-0", fleet).relays()).hasSize(2);
  }

  /** Guards against relays that have too little processor time to keep up themselves. */
  @Nested
  class FleetOfUnequalMachines {
    private final List<ListedInstance> fleet = new ArrayList<>();

    private void add(int count, int processorPercent) {
      for (int number = 0; number < count; number++) {
        String id = "front-" + processorPercent + "-" + number;
        fleet.add(new ListedInstance(id, "127.0.0.1:1", "live", "dc-0", processorPercent));
      }
    }

    @Test
    void isRelayedByTheInstancesWithMostProcessorTime() {
      add(12, 27);
      add(2, 150);
      add(4, 90);
      assertThat(topology("front-27-0", fleet).relays())
          .containsExactlyInAnyOrder("front-150-0", "front-150-1");
    }

    @Test
    void isRelayedByTheNextOnesIfTheFirstCannotBeReached() {
      add(12, 27);
      add(2, 150);
      add(1, 90);
      LinkTopology topology =
          LinkTopology.of("front-27-0", fleet, id -> !id.equals("front-150-0"), false);
      assertThat(topology.relays()).containsExactlyInAnyOrder("front-150-1", "front-90-0");
    }

    @Test
    void isNotRelayedByThoseThatDoNotSayWhatTheyHave() {
      add(12, 0);
      add(2, 27);
      assertThat(topology("front-0-0", fleet).relays())
          .containsExactlyInAnyOrder("front-27-0", "front-27-1");
    }
  }
}
