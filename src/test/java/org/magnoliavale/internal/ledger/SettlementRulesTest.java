package org.magnoliavale.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.document.Contract;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.engine.TransmissionOutcome;
import org.magnoliavale.internal.identifier.ArtifactId;

class SettlementRulesTest {
  private static final ArtifactId ARTIFACT = ArtifactId.parse("menu@1");
  private static final Transmission LOAD = new Transmission("load", 10, 0, 2_000);
  private static final Duration MAXIMUM_COMMAND_DELAY = Duration.ofSeconds(20);
  private static final long CLOCK_DRIFT_MS = 500;
  private static final long AFTER_LATEST_ARRIVAL_MS = 2_000 + 20_000 + CLOCK_DRIFT_MS + 1;

  private static LedgerEntry releasing(Transmission unload) {
    return LedgerEntry.reserved(ARTIFACT, 8, LOAD).withUnload(unload);
  }

  private static Transmission unload(long issuedAtMs) {
    return new Transmission("unload", 11, issuedAtMs, issuedAtMs + 2_000);
  }

  private static EngineReport report(List<ResidentArtifact> residents, String... settled) {
    List<TransmissionOutcome> transmissions =
        java.util.Arrays.stream(settled).map(id -> new TransmissionOutcome(id, "done")).toList();
    return new EngineReport("a", 1, 80, 0, false, 0, 0, 0, residents, transmissions);
  }

  private static SettlementRules rules(boolean enforcesFencing, boolean persistsFencingToken) {
    Contract contract =
        new Contract("c", enforcesFencing, persistsFencingToken, MAXIMUM_COMMAND_DELAY, false);
    return new SettlementRules(contract, CLOCK_DRIFT_MS, Set.of());
  }

  @Nested
  class AnyEngine {
    @Test
    void keepsMemoryWhileTheArtifactIsReported() {
      EngineReport shown =
          report(List.of(new ResidentArtifact("menu@1", 8, true)), "load", "unload");
      assertThat(rules(true, true).isReleasable(releasing(unload(100)), shown)).isFalse();
    }

    @Test
    void keepsMemoryUntilTheUnloadIsReported() {
      assertThat(rules(true, true).isReleasable(releasing(unload(100)), report(List.of(), "load")))
          .isFalse();
    }

    @Test
    void releasesMemoryOnceLoadAndUnloadAreSettled() {
      assertThat(
              rules(false, false)
                  .isReleasable(releasing(unload(100)), report(List.of(), "load", "unload")))
          .isTrue();
    }
  }

  @Nested
  class EngineKeepingItsFencingToken {
    @Test
    void releasesMemoryOnceAnUnloadWithAHigherTokenIsSettled() {
      assertThat(
              rules(true, true).isReleasable(releasing(unload(100)), report(List.of(), "unload")))
          .isTrue();
    }
  }

  @Nested
  class EngineLosingItsFencingTokenOnRestart {
    @Test
    void keepsMemoryAlthoughAnUnloadWithAHigherTokenIsSettled() {
      assertThat(
              rules(true, false).isReleasable(releasing(unload(100)), report(List.of(), "unload")))
          .isFalse();
    }

    @Test
    void releasesMemoryOnceTheUnloadWasIssuedAfterTheLoadsLatestArrival() {
      Transmission late = unload(AFTER_LATEST_ARRIVAL_MS);
      assertThat(rules(true, false).isReleasable(releasing(late), report(List.of(), "unload")))
          .isTrue();
    }
  }

  @Nested
  class EngineWithoutFencing {
    @Test
    void keepsMemoryUntilTheLatestArrival() {
      Transmission early = unload(AFTER_LATEST_ARRIVAL_MS - 1);
      assertThat(rules(false, false).isReleasable(releasing(early), report(List.of(), "unload")))
          .isFalse();
    }
  }
}
