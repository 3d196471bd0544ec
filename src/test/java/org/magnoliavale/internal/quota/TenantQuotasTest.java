package org.magnoliavale.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.route.Quota;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;

class TenantQuotasTest {
  private static final QuotaBounds BOUNDS = new QuotaBounds(Duration.ofSeconds(8), 0.1, 100);
  private static final long START_MS = 1_000_000;
  private static final Optional<GenerationRequest> PLAIN = Optional.empty();

  private final Map<String, Optional<Quota>> limits = new HashMap<>();
  private TenantTable table = TenantTable.none();
  private FleetView fleet = FleetView.ofSingleInstance();

  /** A monotonic clock may start below 0. */
  private long now = -TimeUnit.SECONDS.toNanos(3);

  private final TenantQuotas quotas =
      new TenantQuotas(nanos -> fleet, () -> table, BOUNDS, START_MS, now);

  TenantQuotasTest() {
    advance(60_000);
  }

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private static Quota tokens(double perSecond) {
    return new Quota(Quota.Unit.TOKENS, perSecond, perSecond, 20);
  }

  private void configure(String tenant, Quota quota) {
    limits.put(tenant, Optional.of(quota));
    table = TenantTable.of(limits.keySet().stream().map(this::tenant).toList());
    advance(200);
  }

  private Tenant tenant(String name) {
    return new Tenant(
        new TenantId(name),
        Set.of("key of " + name),
        OptionalInt.empty(),
        limits.getOrDefault(name, Optional.empty()));
  }

  private QuotaDecision take(String tenant) {
    return quotas.take(tenant(tenant), PLAIN, now);
  }

  private static Optional<GenerationRequest> generation(int prompt, int output) {
    return Optional.of(
        new GenerationRequest(Artifact.parse("model"), prompt, output, 1, List.of()));
  }

  /** Sends plain requests evenly; returns the units that were granted. */
  private double sendFor(String tenant, int seconds, int requestsPerSecond) {
    double granted = 0;
    for (int i = 0; i < seconds * requestsPerSecond; i++) {
      advance(1_000 / requestsPerSecond);
      granted += take(tenant) instanceof QuotaDecision.Granted(double units) ? units : 0;
    }
    return granted;
  }

  @Test
  void requestCountsForItsPromptAndTheMostTokensItMayGenerate() {
    configure("a", tokens(1_000));
    QuotaDecision decision = quotas.take(tenant("a"), generation(300, 80), now);
    assertThat(decision).isEqualTo(new QuotaDecision.Granted(380));
  }

  @Test
  void requestWithoutTokensCountsForWhatTheQuotaSays() {
    configure("a", tokens(1_000));
    assertThat(take("a")).isEqualTo(new QuotaDecision.Granted(20));
  }

  @Test
  void quotaMayCountRequests() {
    configure("a", new Quota(Quota.Unit.REQUESTS, 10, 10, 20));
    QuotaDecision decision = quotas.take(tenant("a"), generation(300, 80), now);
    assertThat(decision).isEqualTo(new QuotaDecision.Granted(1));
  }

  @Test
  void tenantWithoutQuotaIsNotLimited() {
    limits.put("a", Optional.empty());
    for (int i = 0; i < 10_000; i++) {
      assertThat(take("a")).isEqualTo(new QuotaDecision.Granted(0));
    }
    assertThat(quotas.announce(now).uses()).isEmpty();
  }

  @Test
  void tenantOverItsQuotaGetsItAndNoMore() {
    configure("a", tokens(1_000));
    sendFor("a", 20, 100);
    assertThat(sendFor("a", 40, 100)).isBetween(40 * 1_000.0, 40 * 1_250.0);
  }

  @Test
  void otherTenantsAreNotConcerned() {
    configure("a", tokens(1_000));
    configure("b", tokens(1_000));
    sendFor("a", 20, 200);
    assertThat(take("b")).isInstanceOf(QuotaDecision.Granted.class);
  }

  @Test
  void requestThatIsGivenBackDoesNotCount() {
    configure("a", tokens(1_000));
    for (int i = 0; i < 10_000; i++) {
      assertThat(take("a")).isInstanceOf(QuotaDecision.Granted.class);
      quotas.giveBack(tenant("a"), PLAIN, now);
    }
    assertThat(quotas.grantedUnits()).isZero();
    assertThat(quotas.announce(now).uses()).allMatch(use -> use.recent() == 0);
  }

  @Test
  void whatPeersAreToldToHaveBeenUsedNeverFalls() {
    configure("a", tokens(1_000));
    take("a");
    double used = quotas.announce(now).uses().getFirst().used();
    quotas.giveBack(tenant("a"), PLAIN, now);
    assertThat(quotas.announce(now).uses().getFirst().used()).isEqualTo(used);
    take("a");
    assertThat(quotas.announce(now).uses().getFirst().used()).isEqualTo(used);
    take("a");
    assertThat(quotas.announce(now).uses().getFirst().used()).isEqualTo(used + 20);
  }

  @Test
  void refusedRequestIsToldWhenThereIsRoomAgain() {
    configure("a", tokens(1_000));
    sendFor("a", 20, 200);
    QuotaDecision decision = take("a");
    while (!(decision instanceof QuotaDecision.Exceeded)) {
      decision = take("a");
    }
    Duration time = ((QuotaDecision.Exceeded) decision).timeToNext();
    assertThat(time).isPositive().isLessThanOrEqualTo(BOUNDS.window());
    now += time.toNanos() + TimeUnit.MILLISECONDS.toNanos(100);
    assertThat(take("a")).isInstanceOf(QuotaDecision.Granted.class);
  }

  @Test
  void requestLargerThanAWholeWindowIsRefused() {
    configure("a", tokens(10));
    QuotaDecision decision =
        quotas.take(tenant("a"), generation(2_000_000_000, 2_000_000_000), now);
    assertThat(decision).isEqualTo(new QuotaDecision.Exceeded(BOUNDS.window()));
  }

  @Test
  void quotaOfZeroPerSecondWithABurstYieldsTheBurst() {
    configure("a", new Quota(Quota.Unit.TOKENS, 0, 1_000, 20));
    assertThat(take("a")).isInstanceOf(QuotaDecision.Granted.class);
    assertThat(sendFor("a", 8, 100)).isLessThanOrEqualTo(1_200);
    assertThat(take("a")).isInstanceOf(QuotaDecision.Exceeded.class);
  }

  @Nested
  class InAFleet {
    private static final long PEER_START_MS = START_MS - 60_000;

    private void hear(String tenant, double demand, double used, double recent) {
      TenantUse use = new TenantUse(new TenantId(tenant), demand, used, recent);
      quotas.learn("i2", PEER_START_MS, List.of(use), now, now);
    }

    private void join() {
      fleet = new FleetView("i1", Set.of("i2"), 0, true, TimeUnit.MILLISECONDS.toNanos(550));
      advance(200);
    }

    @Test
    void whatAPeerHasUsedLeavesLess() {
      join();
      configure("a", tokens(1_000));
      hear("a", 0, 0, 0);
      assertThat(take("a")).isInstanceOf(QuotaDecision.Granted.class);
      advance(500);
      hear("a", 1_000, 9_900, 9_900);
      assertThat(take("a")).isInstanceOf(QuotaDecision.Exceeded.class);
    }

    @Test
    void peerThatStartsAgainCountsAnew() {
      join();
      configure("a", tokens(1_000));
      hear("a", 0, 50_000, 0);
      advance(500);
      quotas.learn(
          "i2",
          PEER_START_MS + 30_000,
          List.of(new TenantUse(new TenantId("a"), 0, 500, 500)),
          now,
          now);
      assertThat(take("a")).isInstanceOf(QuotaDecision.Granted.class);
    }

    @Test
    void instanceThatIsCutOffKeepsToItsPart() {
      join();
      configure("a", tokens(1_000));
      hear("a", 0, 0, 0);
      sendFor("a", 10, 100);
      fleet = new FleetView("i1", Set.of(), 1, true, TimeUnit.MILLISECONDS.toNanos(550));
      sendFor("a", 10, 100);
      assertThat(sendFor("a", 40, 100)).isLessThanOrEqualTo(40 * 550);
    }

    @Test
    void instanceThatDoesNotKnowTheFleetUsesLittle() {
      fleet = new FleetView("i1", Set.of(), 0, false, 0);
      configure("a", tokens(1_000));
      assertThat(sendFor("a", 40, 100)).isLessThanOrEqualTo(40 * 1_000 * 0.01);
    }

    @Test
    void peersAreToldAtOnceOfAJumpAndThenNotAgainForAWhile() {
      join();
      configure("a", tokens(1_000));
      hear("a", 0, 0, 0);
      assertThat(quotas.takeNews(now)).isFalse();
      for (int i = 0; i < 300; i++) {
        take("a");
      }
      assertThat(quotas.takeNews(now)).isTrue();
      assertThat(quotas.announce(now).atOnce()).isTrue();
      assertThat(quotas.announce(now).atOnce()).isFalse();
      take("a");
      assertThat(quotas.takeNews(now)).isFalse();
    }

    @Test
    void lowerQuotaDoesNotCountWhatWasUsedBefore() {
      configure("a", tokens(10_000));
      sendFor("a", 10, 200);
      configure("a", tokens(1_000));
      assertThat(take("a")).isInstanceOf(QuotaDecision.Granted.class);
      assertThat(sendFor("a", 8, 200)).isLessThanOrEqualTo(9 * 1_000 * 1.1 + 100);
    }
  }

  @Test
  void instanceThatHasJustStartedTakesAWindowsUseForGranted() {
    TenantQuotas fresh = new TenantQuotas(nanos -> fleet, () -> table, BOUNDS, START_MS, now);
    configure("a", tokens(1_000));
    double granted = 0;
    for (int i = 0; i < 1_000; i++) {
      granted +=
          fresh.take(tenant("a"), PLAIN, now) instanceof QuotaDecision.Granted(double units)
              ? units
              : 0;
    }
    assertThat(granted).isLessThanOrEqualTo(0.1 * 9_000 + 100 + 1_000);
  }
}
