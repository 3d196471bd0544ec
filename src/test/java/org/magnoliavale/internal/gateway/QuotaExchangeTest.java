package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.TenantUse;
import org.magnoliavale.internal.quota.QuotaBounds;
import org.magnoliavale.internal.quota.QuotaDecision;
import org.magnoliavale.internal.quota.TenantQuotas;
import org.magnoliavale.internal.route.Quota;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;

class QuotaExchangeTest {
  private static final Tenant TENANT =
      new Tenant(
          new TenantId("orchard"),
          Set.of("key"),
          OptionalInt.empty(),
          Optional.of(new Quota(Quota.Unit.REQUESTS, 100, 100, 1)));

  private TenantTable table = TenantTable.of(List.of(TENANT));
  private long now = TimeUnit.SECONDS.toNanos(100);
  private final TenantQuotas east = quotas("east", "west");
  private final TenantQuotas west = quotas("west", "east");

  QuotaExchangeTest() {
    now += TimeUnit.SECONDS.toNanos(60);
  }

  private TenantQuotas quotas(String self, String peer) {
    FleetView view = new FleetView(self, Set.of(peer), 0, true, TimeUnit.MILLISECONDS.toNanos(550));
    QuotaBounds bounds = new QuotaBounds(Duration.ofSeconds(8), 0.1, 0);
    return new TenantQuotas(nanos -> view, () -> table, bounds, 0, now);
  }

  private Heartbeat tellWest() {
    now += TimeUnit.MILLISECONDS.toNanos(500);
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
    new QuotaExchange(east).addTo(heartbeat, now);
    new QuotaExchange(west).apply("east", heartbeat.build(), now);
    return heartbeat.build();
  }

  private int grantedOfMany(TenantQuotas quotas) {
    int granted = 0;
    for (int i = 0; i < 2_000; i++) {
      QuotaDecision decision = quotas.take(TENANT, Optional.empty(), now);
      granted += decision instanceof QuotaDecision.Granted ? 1 : 0;
    }
    return granted;
  }

  @Test
  void instancesKeepAQuotaTogether() {
    tellWest();
    new QuotaExchange(east).apply("west", Heartbeat.getDefaultInstance(), now);
    tellWest();
    int ofEast = grantedOfMany(east);
    tellWest();
    int ofWest = grantedOfMany(west);
    assertThat(ofEast).isPositive();
    assertThat(ofEast + ofWest).isLessThanOrEqualTo(990);
  }

  @Test
  void jumpIsUrgent() {
    tellWest();
    grantedOfMany(east);
    assertThat(tellWest().getTenantUsesList()).allMatch(TenantUse::getUrgent);
  }

  @Test
  void nothingIsToldWhereTheConfigurationHasNoQuotas() {
    table = TenantTable.none();
    assertThat(tellWest().getTenantUsesCount()).isZero();
  }

  @ParameterizedTest
  @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY})
  void valuesThatMakeNoSenseAreIgnored(double value) {
    tellWest();
    Heartbeat heartbeat =
        Heartbeat.newBuilder()
            .addTenantUses(
                TenantUse.newBuilder()
                    .setTenant("orchard")
                    .setDemand((float) value)
                    .setUsed(value)
                    .setRecent((float) value)
                    .setAgeMs(-1))
            .addTenantUses(TenantUse.newBuilder().setTenant("not a name").setUsed(1_000_000))
            .build();
    new QuotaExchange(west).apply("east", heartbeat, now);
    assertThat(west.take(TENANT, Optional.empty(), now)).isInstanceOf(QuotaDecision.Granted.class);
  }
}
