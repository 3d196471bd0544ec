package org.magnoliavale.internal.tenant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliavale.internal.tenant.Configurations.tenant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.Tenant;

/** One instance reads a version that takes a key away; the other one can't read the store. */
class RevokedKeysTest {
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private final KeyPeer east = new KeyPeer("east", false, () -> nowNanos);
  private final KeyPeer west = new KeyPeer("west", false, () -> nowNanos);

  private void advance(long milliseconds) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private void begin() {
    RouteTable first = Configurations.of(1, tenant("a", "k-1", "k-2"), tenant("b", "k-3"));
    for (KeyPeer peer : List.of(east, west)) {
      peer.read(first);
    }
    east.tell(west);
    west.tell(east);
  }

  @Test
  void isRefusedByAnInstanceThatHasTheOlderConfiguration() {
    begin();
    assertThat(east.read(Configurations.of(2, tenant("a", "k-2"), tenant("b", "k-3")))).isTrue();
    assertThat(west.tenantOf("k-1")).isEqualTo("a");
    east.tell(west);
    assertThat(west.tenantOf("k-1")).isEqualTo("rejected");
    assertThat(west.tenantOf("k-2")).isEqualTo("a");
    assertThat(west.tenantOf("k-3")).isEqualTo("b");
  }

  @Test
  void isRefusedIfItsTenantIsDropped() {
    begin();
    east.read(Configurations.of(2, tenant("b", "k-3")));
    east.tell(west);
    assertThat(west.tenantOf("k-1")).isEqualTo("rejected");
    assertThat(west.tenantOf("k-2")).isEqualTo("rejected");
    assertThat(west.tenantOf("k-3")).isEqualTo("b");
  }

  @Test
  void staysRefusedHoweverLongTheInstanceCanNotReadTheStore() {
    begin();
    east.read(Configurations.of(2, tenant("a", "k-2")));
    east.tell(west);
    advance(3_600_000);
    assertThat(west.tenantOf("k-1")).isEqualTo("rejected");
  }

  @Test
  void isValidAgainOnceAVersionThatHasItIsApplied() {
    begin();
    east.read(Configurations.of(2, tenant("a", "k-2")));
    east.tell(west);
    RouteTable third = Configurations.of(3, tenant("a", "k-1", "k-2"), tenant("b", "k-3"));
    west.read(third);
    assertThat(west.tenantOf("k-1")).isEqualTo("a");
    east.read(third);
    assertThat(east.statement().revocations()).isEmpty();
  }

  @Test
  void isNotToldToInstancesThatApplyTheSameVersion() {
    begin();
    RouteTable second = Configurations.of(2, tenant("a", "k-2"));
    east.read(second);
    assertThat(east.statement().revocations()).hasSize(2);
    west.read(second);
    west.tell(east);
    assertThat(east.statement().revocations()).isEmpty();
  }

  @Test
  void isToldToAnInstanceThatComesBackMuchLater() {
    begin();
    RouteTable second = Configurations.of(2, tenant("a", "k-2"));
    east.read(second);
    advance(60_000);
    assertThat(east.statement().revocations()).isEmpty();
    west.tell(east);
    east.tell(west);
    assertThat(west.tenantOf("k-1")).isEqualTo("rejected");
  }

  @Test
  void isNotToldIfTheNewerVersionAsksForNoKeys() {
    begin();
    east.read(Configurations.of(2, tenant("a", "k-2")));
    assertThat(east.read(Configurations.of(3))).isFalse();
    east.tell(west);
    assertThat(west.tenantOf("k-1")).isEqualTo("a");
  }

  @Test
  void isNotRefusedByItsMereMoveToAnotherTenant() {
    begin();
    assertThat(east.read(Configurations.of(2, tenant("b", "k-1", "k-2", "k-3")))).isFalse();
    east.tell(west);
    assertThat(west.tenantOf("k-1")).isEqualTo("a");
  }

  @Test
  void isToldAsOneOfABoundedNumber() {
    Set<String> many = new HashSet<>();
    for (int i = 0; i < 5_000; i++) {
      many.add("k-" + i);
    }
    Tenant large = new Tenant(new TenantId("a"), many, OptionalInt.empty(), Optional.empty());
    for (KeyPeer peer : List.of(east, west)) {
      peer.read(Configurations.of(1, large));
    }
    west.tell(east);
    east.read(Configurations.of(2, tenant("a")));
    assertThat(east.statement().revocations()).hasSize(ConfigurationStatement.MAXIMUM_REVOCATIONS);
  }

  @Test
  void isRememberedOnlyForTheNewestOfABoundedNumber() {
    begin();
    for (int i = 0; i < 10_000; i++) {
      List<Revocation> forged = new ArrayList<>();
      forged.add(new Revocation(new KeyFingerprint("f-" + i), 2));
      west.hear("north", new ConfigurationStatement(2, 0, forged));
    }
    east.read(Configurations.of(2, tenant("a", "k-2")));
    east.tell(west);
    assertThat(west.tenantOf("k-1")).isEqualTo("rejected");
  }

  @Test
  void takesACallWithAKeyThatWasTakenAwayWithoutItsTenant() {
    RouteTable first = Configurations.of(1, tenant("a", "k-1"));
    east.read(first);
    west.read(first);
    west.tell(east);
    east.read(Configurations.of(2, tenant("a")));
    east.tell(west);
    assertThat(west.tenantOf(KeyPeer.OPEN, "k-1")).isEqualTo("anonymous");
  }
}
