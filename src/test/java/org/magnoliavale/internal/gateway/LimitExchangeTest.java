package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LimitStatement;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.link.protocol.EndpointLimit;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.LimitedDemand;

class LimitExchangeTest {
  private static final EndpointIdentity ENDPOINT = new EndpointIdentity("a", 7);

  private long now = TimeUnit.SECONDS.toNanos(100);
  private final EndpointLimits east = limits("east", "west");
  private final EndpointLimits west = limits("west", "east");

  private static EndpointLimits limits(String self, String peer) {
    FleetView view = new FleetView(self, Set.of(peer), 0, true, 0);
    return new EndpointLimits(nanos -> view);
  }

  private void tellWest() {
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
    new LimitExchange(east).addTo(heartbeat, now);
    new LimitExchange(west).apply("east", heartbeat.build(), now);
  }

  @Test
  void peerKeepsALimitAndDropsItAgain() {
    east.observe(ENDPOINT, LimitStatement.limited(3), now, now);
    tellWest();
    assertThat(west.allows(ENDPOINT, now)).isFalse();
    now += TimeUnit.SECONDS.toNanos(1);
    east.observe(ENDPOINT, LimitStatement.UNLIMITED, now, now);
    tellWest();
    assertThat(west.allows(ENDPOINT, now)).isTrue();
  }

  @Test
  void peerLearnsTheDemand() {
    east.observe(ENDPOINT, LimitStatement.limited(3), now, now);
    for (int i = 0; i < 100; i++) {
      east.recordWanted(ENDPOINT, now);
      now += TimeUnit.MILLISECONDS.toNanos(50);
    }
    tellWest();
    assertThat(west.isExceeded(ENDPOINT)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY})
  void valuesThatMakeNoSenseAreIgnored(double rate) {
    Heartbeat heartbeat =
        Heartbeat.newBuilder()
            .addLimits(EndpointLimit.newBuilder().setEndpoint("a@7").setRequestsPerSecond(rate))
            .addLimits(
                EndpointLimit.newBuilder()
                    .setEndpoint("a@7")
                    .setRequestsPerSecond(1)
                    .setAgeMs(Long.MAX_VALUE))
            .addLimitedDemand(
                LimitedDemand.newBuilder().setEndpoint("a@7").setRequestsPerSecond(rate))
            .build();
    new LimitExchange(west).apply("east", heartbeat, now);
    assertThat(west.allows(ENDPOINT, now)).isTrue();
    assertThat(west.demands(now)).isEmpty();
  }
}
