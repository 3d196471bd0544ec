package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliavale.internal.tenant.Configurations.tenant;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RevokedKey;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.tenant.CallerCredential;
import org.magnoliavale.internal.tenant.CallerKeys;
import org.magnoliavale.internal.tenant.Configurations;
import org.magnoliavale.internal.tenant.KeyDecision;
import org.magnoliavale.internal.tenant.TenantSettings;

class KeyExchangeTest {
  private static final RouteTable FIRST = Configurations.of(1, tenant("a", "k-1", "k-2"));
  private static final RouteTable SECOND = Configurations.of(2, tenant("a", "k-2"));

  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private final Instance east = new Instance("east", false);
  private final Instance west = new Instance("west", false);

  /** The parts of an instance between its configuration and its heartbeats. */
  private final class Instance {
    private final String id;
    private final CallerKeys keys;
    private final KeyExchange exchange;
    private final Deque<ConfigurationPollResult> results = new ArrayDeque<>();
    private final ConfigurationPoller poller;
    private int announcements;

    private Instance(String id, boolean strict) {
      this.id = id;
      keys = CallerKeys.of("secret", new TenantSettings(Duration.ofSeconds(5), strict));
      exchange = new KeyExchange(keys, () -> announcements++, () -> nowNanos);
      poller = new ConfigurationPoller(results::remove, exchange);
    }

    void poll(ConfigurationPollResult result) {
      results.add(result);
      poller.pollOnce();
    }

    void apply(RouteTable routes) {
      poll(new ConfigurationPollResult.Found(routes));
    }

    Heartbeat heartbeat() {
      Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
      exchange.addTo(heartbeat, nowNanos);
      return heartbeat.build();
    }

    void tell(Instance other) {
      other.hear(id, heartbeat());
    }

    void hear(String peer, Heartbeat heartbeat) {
      exchange.apply(peer, heartbeat, nowNanos);
    }

    Class<?> decision(String key) {
      KeyDecision decision =
          keys.check(
              poller.routes(),
              Configurations.route(false),
              new CallerCredential.Key(key),
              nowNanos);
      return decision.getClass();
    }
  }

  @BeforeEach
  void begin() {
    for (Instance instance : List.of(east, west)) {
      instance.apply(FIRST);
    }
    west.tell(east);
    east.tell(west);
  }

  @Test
  void keyThatIsTakenAwayIsRefusedByAnInstanceThatCanNotReadTheStore() {
    east.apply(SECOND);
    west.poll(new ConfigurationPollResult.Unavailable("cut off"));
    assertThat(east.announcements).isEqualTo(1);
    east.tell(west);
    assertThat(west.decision("k-1")).isEqualTo(KeyDecision.Rejected.class);
    assertThat(west.decision("k-2")).isEqualTo(KeyDecision.Admitted.class);
    west.apply(SECOND);
    west.tell(east);
    assertThat(east.heartbeat().getRevokedKeysCount()).isZero();
  }

  @Test
  void peersAreNotDisturbedByAVersionThatTakesNoKeyAway() {
    east.apply(Configurations.of(2, tenant("a", "k-1", "k-2", "k-3")));
    assertThat(east.announcements).isZero();
  }

  @Test
  void olderVersionTakesNoKeyAway() {
    east.apply(SECOND);
    east.apply(FIRST);
    assertThat(east.decision("k-1")).isEqualTo(KeyDecision.Rejected.class);
  }

  @Test
  void heartbeatOfAnInstanceWithoutAConfigurationSaysNothing() {
    assertThat(new Instance("north", false).heartbeat()).isEqualTo(Heartbeat.getDefaultInstance());
  }

  @Test
  void readOfAnUnchangedConfigurationKeepsAStrictInstanceServing() {
    Instance strict = new Instance("north", true);
    strict.apply(FIRST);
    for (int i = 0; i < 3; i++) {
      nowNanos += TimeUnit.SECONDS.toNanos(3);
      strict.poll(new ConfigurationPollResult.Unchanged());
      assertThat(strict.decision("k-1")).isEqualTo(KeyDecision.Admitted.class);
    }
    for (int i = 0; i < 2; i++) {
      nowNanos += TimeUnit.SECONDS.toNanos(3);
      strict.poll(new ConfigurationPollResult.Unavailable("cut off"));
    }
    assertThat(strict.decision("k-1")).isEqualTo(KeyDecision.Undecided.class);
  }

  /** Heartbeats that no instance sends. */
  @Nested
  class Nonsense {
    private final ByteString fingerprint =
        ByteString.copyFrom(new byte[org.magnoliavale.internal.tenant.KeyFingerprint.BYTES]);

    private void hear(Heartbeat.Builder heartbeat) {
      west.hear("north", heartbeat.build());
      assertThat(west.decision("k-1")).isEqualTo(KeyDecision.Admitted.class);
    }

    private RevokedKey revoked(ByteString key, long version) {
      return RevokedKey.newBuilder().setFingerprint(key).setVersion(version).build();
    }

    @Test
    void isIgnored() {
      hear(Heartbeat.newBuilder().setConfigurationVersion(-1).setConfigurationAgeMs(-1));
      hear(Heartbeat.newBuilder().setConfigurationAgeMs(Long.MAX_VALUE));
      hear(
          Heartbeat.newBuilder()
              .setConfigurationVersion(1)
              .setConfigurationAgeMs(Long.MIN_VALUE)
              .addRevokedKeys(revoked(ByteString.EMPTY, 1))
              .addRevokedKeys(revoked(ByteString.copyFrom(new byte[100_000]), 1))
              .addRevokedKeys(revoked(fingerprint, 0))
              .addRevokedKeys(revoked(fingerprint, -7))
              .addRevokedKeys(revoked(fingerprint, 2)));
    }

    @Test
    void doesNotReassureAStrictInstance() {
      Instance strict = new Instance("south", true);
      strict.apply(FIRST);
      nowNanos += TimeUnit.SECONDS.toNanos(6);
      strict.hear(
          "north",
          Heartbeat.newBuilder().setConfigurationVersion(1).setConfigurationAgeMs(-1).build());
      assertThat(strict.decision("k-1")).isEqualTo(KeyDecision.Undecided.class);
    }
  }
}
