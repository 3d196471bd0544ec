package org.magnoliavale.internal.tenant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliavale.internal.tenant.Configurations.tenant;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.route.RouteTable;

/** An instance that must refuse what it can't know. */
class StrictRevocationTest {
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private final KeyPeer east = new KeyPeer("east", false, () -> nowNanos);

  private void advance(long milliseconds) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private final KeyPeer strict = new KeyPeer("north", true, () -> nowNanos);
  private final RouteTable first = Configurations.of(1, tenant("a", "k-1"));

  @Test
  void refusesCallsThatNeedAKeyAfterTheTimeWithoutARead() {
    strict.read(first);
    advance(5_000);
    assertThat(strict.tenantOf("k-1")).isEqualTo("a");
    advance(1);
    assertThat(strict.tenantOf("k-1")).isEqualTo("undecided");
    assertThat(strict.tenantOf(KeyPeer.OPEN, "k-1")).isEqualTo("a");
    strict.readUnchanged();
    assertThat(strict.tenantOf("k-1")).isEqualTo("a");
  }

  @Test
  void stillRejectsACallWithoutAKey() {
    strict.read(first);
    advance(10_000);
    assertThat(strict.check(KeyPeer.CLOSED, new CallerCredential.Absent()))
        .isInstanceOf(KeyDecision.Rejected.class);
  }

  @Test
  void goesOnWhileAPeerReadsTheSameVersion() {
    strict.read(first);
    east.read(first);
    for (int i = 0; i < 10; i++) {
      advance(2_000);
      east.readUnchanged();
      east.tell(strict);
      assertThat(strict.tenantOf("k-1")).isEqualTo("a");
    }
  }

  @Test
  void countsFromThePeersOwnReadAndNotFromItsHeartbeat() {
    strict.read(first);
    east.read(first);
    for (int i = 0; i < 3; i++) {
      advance(2_000);
      east.tell(strict);
    }
    assertThat(strict.tenantOf("k-1")).isEqualTo("undecided");
  }

  @Test
  void isNotReassuredByAPeerWithAnotherVersion() {
    strict.read(first);
    for (long version : List.of(2L, 0L)) {
      advance(3_000);
      ConfigurationStatement statement = new ConfigurationStatement(version, 0, List.of());
      strict.hear("east", statement);
    }
    assertThat(strict.tenantOf("k-1")).isEqualTo("undecided");
  }

  @Test
  void isOffUnlessSettingsAskForIt() {
    east.read(first);
    advance(3_600_000);
    assertThat(east.tenantOf("k-1")).isEqualTo("a");
  }
}
