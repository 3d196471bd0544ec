package org.magnoliavale.internal.tenant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliavale.internal.tenant.Configurations.tenant;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.route.Tenant;

class CallerKeysTest {
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private final KeyPeer east = new KeyPeer("east", false, () -> nowNanos);
  private final KeyPeer west = new KeyPeer("west", false, () -> nowNanos);

  private void advance(long milliseconds) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  @Nested
  class KeyOfACall {
    @Test
    void selectsItsTenant() {
      east.read(Configurations.of(1, tenant("a", "k-1", "k-2"), tenant("b", "k-3")));
      assertThat(east.tenantOf("k-1")).isEqualTo("a");
      assertThat(east.tenantOf("k-2")).isEqualTo("a");
      assertThat(east.tenantOf("k-3")).isEqualTo("b");
    }

    @ParameterizedTest
    @ValueSource(strings = {"k", "K-1", " k-1", "k-1,k-3", "a", "k-1\u0000", "\u00ff\u00fe"})
    void isRejectedIfNoTenantHasIt(String key) {
      east.read(Configurations.of(1, tenant("a", "k-1"), tenant("b", "k-3")));
      assertThat(east.tenantOf(key)).isEqualTo("rejected");
    }

    @Test
    void isRejectedWithoutBoundOfItsLength() {
      east.read(Configurations.of(1, tenant("a", "k-1")));
      assertThat(east.tenantOf("k-1".repeat(20_000))).isEqualTo("rejected");
    }

    @Test
    void thatTwoTenantsHaveBelongsToTheFirst() {
      east.read(Configurations.of(1, tenant("a", "k-1"), tenant("b", "k-1", "k-2")));
      assertThat(east.tenantOf("k-1")).isEqualTo("a");
      assertThat(east.tenantOf("k-2")).isEqualTo("b");
    }

    @Test
    void isRejectedIfTheOnlyTenantHasNoKeys() {
      east.read(Configurations.of(1, tenant("a")));
      assertThat(east.tenantOf("k-1")).isEqualTo("rejected");
      assertThat(east.tenantOf("")).isEqualTo("rejected");
    }

    @Test
    void thatIsAbsentOrMalformedIsRejected() {
      east.read(Configurations.of(1, tenant("a", "k-1")));
      for (CallerCredential credential :
          List.of(new CallerCredential.Absent(), new CallerCredential.Malformed())) {
        assertThat(east.check(KeyPeer.CLOSED, credential)).isInstanceOf(KeyDecision.Rejected.class);
      }
    }

    @Test
    void isNotAskedForWithoutTenants() {
      east.read(Configurations.of(1));
      KeyDecision decision = east.check(KeyPeer.CLOSED, new CallerCredential.Absent());
      assertThat(decision).isEqualTo(new KeyDecision.Admitted(new CallerIdentity.Unchecked()));
      assertThat(east.check(KeyPeer.CLOSED, new CallerCredential.Key("k-9"))).isEqualTo(decision);
    }

    @Test
    void worksOnceItsVersionIsApplied() {
      east.read(Configurations.of(1, tenant("a", "k-1")));
      east.read(Configurations.of(2, tenant("a", "k-1", "k-2")));
      assertThat(east.tenantOf("k-2")).isEqualTo("a");
    }
  }

  @Nested
  class OpenRoute {
    @Test
    void takesCallsWithAnyKeyAndKnowsTheTenantOfAValidOne() {
      east.read(Configurations.of(1, tenant("a", "k-1")));
      assertThat(east.tenantOf(KeyPeer.OPEN, "k-1")).isEqualTo("a");
      assertThat(east.tenantOf(KeyPeer.OPEN, "k-9")).isEqualTo("anonymous");
      assertThat(east.check(KeyPeer.OPEN, new CallerCredential.Absent()))
          .isEqualTo(new KeyDecision.Admitted(new CallerIdentity.Anonymous()));
      assertThat(east.check(KeyPeer.OPEN, new CallerCredential.Malformed()))
          .isEqualTo(new KeyDecision.Admitted(new CallerIdentity.Anonymous()));
    }
  }

  @Nested
  class UnknownKey {
    @Test
    void isNotDecidedWhileAPeerHasANewerConfiguration() {
      east.read(Configurations.of(2, tenant("a", "k-1", "k-2")));
      west.read(Configurations.of(1, tenant("a", "k-1")));
      east.tell(west);
      assertThat(west.tenantOf("k-2")).isEqualTo("undecided");
      assertThat(west.tenantOf("k-1")).isEqualTo("a");
      west.read(Configurations.of(2, tenant("a", "k-1", "k-2")));
      assertThat(west.tenantOf("k-2")).isEqualTo("a");
      assertThat(west.tenantOf("k-9")).isEqualTo("rejected");
    }

    @Test
    void isRejectedOnceThePeerWithTheNewerConfigurationIsSilent() {
      east.read(Configurations.of(2, tenant("a", "k-1", "k-2")));
      west.read(Configurations.of(1, tenant("a", "k-1")));
      east.tell(west);
      advance(5_001);
      assertThat(west.tenantOf("k-9")).isEqualTo("rejected");
    }
  }

  @Nested
  class Secrecy {
    private static final String KEY = "very-secret";

    @Test
    void noTextOfAnyValueContainsTheKey() {
      Tenant tenant = tenant("a", KEY);
      east.read(Configurations.of(1, tenant));
      west.read(Configurations.of(1, tenant));
      west.tell(east);
      east.read(Configurations.of(2, tenant("a")));
      assertThat(
              List.of(
                  new CallerCredential.Key(KEY).toString(),
                  tenant.toString(),
                  new CallerIdentity.Known(tenant).toString(),
                  west.check(KeyPeer.CLOSED, new CallerCredential.Key(KEY)).toString(),
                  east.check(KeyPeer.CLOSED, new CallerCredential.Key(KEY)).toString(),
                  east.statement().toString()))
          .noneMatch(text -> text.contains(KEY));
    }

    @Test
    void fingerprintsDependOnTheSharedSecret() {
      KeyFingerprint fingerprint = new KeyFingerprints("secret").of(KEY);
      assertThat(fingerprint).isEqualTo(new KeyFingerprints("secret").of(KEY));
      assertThat(fingerprint).isNotEqualTo(new KeyFingerprints("other").of(KEY));
      assertThat(fingerprint.value()).hasSize(2 * KeyFingerprint.BYTES);
    }
  }
}
