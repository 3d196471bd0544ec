package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.call.PeerCalls;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.reach.EndpointReach;
import org.magnoliavale.internal.settings.PeerSettings;

class PeerForwardingTest {
  private static final int DRAWS = 200;

  private long now = TimeUnit.HOURS.toNanos(1);
  private final PeerForwarding forwarding = forwarding("self", "key");

  private PeerForwarding forwarding(String instance, String key) {
    List<ListedInstance> listed =
        List.of(
            ListedInstance.live("near", "127.0.0.1:1", "east", 20),
            ListedInstance.live("strong", "127.0.0.1:1", "east", 180),
            ListedInstance.live("far", "127.0.0.1:1", "west", 100));
    return new PeerForwarding(
        settings(instance, key),
        new EndpointReach(),
        () -> "127.0.0.1:9",
        () -> Optional.of(listed),
        new Random(1),
        () -> now);
  }

  private static GatewaySettings settings(String instance, String key) {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Duration second = Duration.ofSeconds(1);
    return new GatewaySettings(
        instance,
        "east",
        any,
        any,
        any,
        new PeerSettings(any, key, second, second),
        any,
        second,
        second,
        0.2,
        10,
        second,
        second,
        "warn");
  }

  private static Heartbeat.Builder heartbeat(int port) {
    return Heartbeat.newBuilder().setCallerAddress("127.0.0.1:" + port).setReachesEndpoints(true);
  }

  private void hear(String peer, Heartbeat.Builder heartbeat) {
    forwarding.apply(peer, heartbeat.build(), now);
  }

  private Set<String> drawn(EndpointIdentity... excluded) {
    Set<String> drawn = new HashSet<>();
    for (int draw = 0; draw < DRAWS; draw++) {
      forwarding
          .choose(Set.of(excluded), now)
          .ifPresent(choice -> drawn.add(choice.endpoint().identity().id()));
    }
    return drawn;
  }

  @Nested
  class Choice {
    @Test
    void isOfPeersOfTheSameDataCentreIfThereAreAny() {
      hear("near", heartbeat(1));
      hear("strong", heartbeat(2));
      hear("far", heartbeat(3));
      assertThat(drawn()).containsExactlyInAnyOrder("near", "strong");
      assertThat(drawn(new EndpointIdentity("near", 0), new EndpointIdentity("strong", 0)))
          .containsExactly("far");
    }

    @Test
    void leavesOutPeersThatReachNoEndpointOrLeaveOrAreSilent() {
      hear("near", heartbeat(1).setReachesEndpoints(false));
      hear("strong", heartbeat(2).setLeaving(true));
      hear("far", heartbeat(3));
      assertThat(drawn()).containsExactly("far");
      now += TimeUnit.MILLISECONDS.toNanos(5_001);
      assertThat(drawn()).isEmpty();
    }

    @Test
    void leavesOutPeersWithoutAnAddressForCalls() {
      hear("near", heartbeat(1).setCallerAddress(""));
      hear("far", heartbeat(1).setCallerAddress("host.example:80"));
      assertThat(drawn()).isEmpty();
      assertThat(forwarding.isAnyPeerReaching(now)).isFalse();
    }

    @Test
    void isOfThePeersCurrentAddress() {
      hear("near", heartbeat(1));
      hear("near", heartbeat(2));
      assertThat(forwarding.choose(Set.of(), now))
          .get()
          .extracting(choice -> choice.endpoint().address().getPort())
          .isEqualTo(2);
    }
  }

  @Nested
  class Proof {
    private HttpFields fields(String value) {
      return HttpFields.build().put(PeerCalls.PROOF_HEADER, value);
    }

    @Test
    void ofAnInstanceWithTheSharedKeyHoldsForItsCallOnly() {
      String proof = forwarding("other", "key").proof("id-1");
      assertThat(forwarding.isFromPeer(fields(proof), "id-1")).isTrue();
      assertThat(forwarding.isFromPeer(fields(proof), "id-2")).isFalse();
      assertThat(forwarding.isFromPeer(fields(proof.replace("other", "third")), "id-1")).isFalse();
    }

    @Test
    void withoutTheSharedKeyDoesNotHold() {
      String forged = forwarding("other", "guessed").proof("id-1");
      assertThat(forwarding.isFromPeer(fields(forged), "id-1")).isFalse();
      for (String malformed : List.of("", ":", "other", "other:", "other:xyz", "other:00")) {
        assertThat(forwarding.isFromPeer(fields(malformed), "id-1")).isFalse();
      }
      assertThat(forwarding.isFromPeer(HttpFields.EMPTY, "id-1")).isFalse();
    }
  }
}
