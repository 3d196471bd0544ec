package org.magnoliavale.internal.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.identifier.ServiceId;

class EndpointReachTest {
  private static final int ENDPOINTS = 6;

  private final EndpointReach reach = new EndpointReach();
  private long now = TimeUnit.HOURS.toNanos(1);

  @BeforeEach
  void listEndpoints() {
    listEndpoints(ENDPOINTS);
    reach.heard(now);
  }

  private void listEndpoints(int count) {
    reach.endpointsListed(IntStream.range(0, count).mapToObj(EndpointReachTest::entry).toList());
  }

  private static DirectoryEntry entry(int number) {
    return new DirectoryEntry(
        endpoint(number),
        new ServiceId("assistant"),
        address(number),
        "east",
        false,
        4,
        1,
        Map.of(),
        Set.of(),
        Set.of());
  }

  private static EndpointIdentity endpoint(int number) {
    return new EndpointIdentity("e" + number, 1);
  }

  private static InetSocketAddress address(int number) {
    return new InetSocketAddress("127.0.0.1", 1_000 + number);
  }

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private void refuse(int... endpoints) {
    IntStream.of(endpoints).forEach(number -> reach.connectFailed(endpoint(number), now));
  }

  private boolean isCutOff(int silentEndpoints, boolean peersReach) {
    reach.update(() -> silentEndpoints, peersReach, now);
    if (!reach.isCutOff() && reach.needsProbe()) {
      reach.probed(endpoint(5), false, now);
      reach.update(() -> silentEndpoints, peersReach, now);
    }
    return reach.isCutOff();
  }

  private void cutOff() {
    refuse(0, 1, 2);
    assertThat(isCutOff(0, true)).isTrue();
  }

  @Nested
  class CutOff {
    @Test
    void isFoundWhenSeveralEndpointsRefuseConnectionsWhileOpenOnesGoOn() {
      reach.heard(now);
      refuse(0, 1);
      assertThat(isCutOff(0, true)).isFalse();
      refuse(2);
      reach.heard(now);
      assertThat(isCutOff(0, true)).isTrue();
    }

    @Test
    void isFoundWhenSeveralEndpointsFallSilentAndNothingComesFromAny() {
      advance(600);
      assertThat(isCutOff(3, true)).isFalse();
      advance(100);
      assertThat(isCutOff(2, true)).isFalse();
      assertThat(isCutOff(3, true)).isTrue();
    }

    @Test
    void isNotFoundWhileAnEndpointAcceptsConnections() {
      refuse(0, 1);
      reach.connected(address(3), now);
      refuse(2);
      assertThat(isCutOff(0, true)).isFalse();
    }

    @Test
    void isNotFoundWhenSeveralEndpointsFailAtOnceAndAProbeOfAnotherIsAnswered() {
      refuse(0, 1, 2);
      reach.update(() -> 0, true, now);
      assertThat(reach.needsProbe()).isTrue();
      reach.probed(endpoint(4), true, now);
      assertThat(reach.update(() -> 0, true, now)).isFalse();
      assertThat(reach.isCutOff()).isFalse();
      assertThat(reach.needsProbe()).isFalse();
    }

    @Test
    void isNoLongerSuspectedOnceTheEvidenceIsOld() {
      refuse(0, 1, 2);
      reach.update(() -> 0, true, now);
      advance(2_001);
      reach.update(() -> 0, true, now);
      assertThat(reach.needsProbe()).isFalse();
    }

    @Test
    void isNotFoundFromTheRefusalsOfOneEndpoint() {
      refuse(0, 0, 0, 0);
      assertThat(isCutOff(1, true)).isFalse();
    }

    @Test
    void isNotFoundFromRefusalsLongApart() {
      refuse(0, 1);
      advance(2_001);
      refuse(2);
      assertThat(isCutOff(0, true)).isFalse();
    }

    @Test
    void isNotFoundWhileNoPeerReachesEndpointsEither() {
      refuse(0, 1, 2, 3, 4, 5);
      advance(1_000);
      assertThat(isCutOff(6, false)).isFalse();
    }

    @Test
    void isNotFoundWithoutEndpoints() {
      listEndpoints(0);
      advance(5_000);
      assertThat(isCutOff(0, true)).isFalse();
    }

    @Test
    void isFoundWhenTheOnlyEndpointRefusesConnections() {
      listEndpoints(1);
      refuse(0);
      assertThat(isCutOff(0, true)).isTrue();
    }

    @Test
    void isNotPreventedByAConnectionToSomethingElse() {
      refuse(0, 1);
      reach.connected(new InetSocketAddress("127.0.0.1", 1), now);
      refuse(2);
      assertThat(isCutOff(0, true)).isTrue();
    }
  }

  @Nested
  class End {
    @Test
    void isFoundWhenProbesOfTwoEndpointsInARowAreAnswered() {
      cutOff();
      reach.probed(endpoint(0), true, now);
      assertThat(isCutOff(0, true)).isTrue();
      reach.probed(endpoint(4), true, now);
      assertThat(isCutOff(0, true)).isFalse();
    }

    @Test
    void isNotFoundFromASingleAnswerOnALinkThatLosesPackets() {
      cutOff();
      reach.probed(endpoint(0), true, now);
      reach.probed(endpoint(1), false, now);
      reach.probed(endpoint(2), true, now);
      reach.probed(endpoint(2), true, now);
      assertThat(isCutOff(0, true)).isTrue();
    }

    @Test
    void isFoundAlsoWhenNoPeerReachesEndpointsAnyMore() {
      cutOff();
      reach.probed(endpoint(0), true, now);
      reach.probed(endpoint(1), true, now);
      assertThat(isCutOff(0, false)).isFalse();
    }

    @Test
    void needsNewEvidenceForTheNextCut() {
      cutOff();
      reach.probed(endpoint(0), true, now);
      reach.probed(endpoint(1), true, now);
      assertThat(isCutOff(0, true)).isFalse();
      refuse(0, 1);
      assertThat(isCutOff(0, true)).isFalse();
      refuse(2);
      assertThat(isCutOff(0, true)).isTrue();
    }
  }

  @Nested
  class WhatPeersAreTold {
    @Test
    void isThatEndpointsAreReachedWhileTheyAreHeard() {
      assertThat(reach.isReaching(now)).isTrue();
      advance(2_001);
      assertThat(reach.isReaching(now)).isFalse();
    }

    @Test
    void isThatNoneIsReachedDuringACut() {
      cutOff();
      reach.heard(now);
      assertThat(reach.isReaching(now)).isFalse();
    }
  }

  @Test
  void isDoubtfulAsSoonAsTwoEndpointsRefuseConnections() {
    refuse(0);
    assertThat(reach.isDoubtful()).isFalse();
    refuse(1);
    assertThat(reach.isDoubtful()).isTrue();
    reach.connected(address(2), now);
    assertThat(reach.isDoubtful()).isFalse();
  }
}
