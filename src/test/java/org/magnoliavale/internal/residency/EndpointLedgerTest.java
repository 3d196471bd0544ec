package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.residency.EndpointOrder.Operation;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

class EndpointLedgerTest {
  private static final EngineSpecification ENGINE =
      new EngineSpecification(8, 1_000, 220, 2, 1, Map.of("m", model("m"), "n", model("n")));

  private long now = TimeUnit.SECONDS.toNanos(100);
  private EndpointLedger ledger;

  private static ModelSpecification model(String name) {
    Duration second = Duration.ofSeconds(1);
    return new ModelSpecification(name, 70, second, second, second, 10, 1);
  }

  @BeforeEach
  void start() {
    ledger = EndpointLedger.ofKnownEndpoint(entry(1, "m"), now);
    ledger.reported(report(5, false, "m"), now);
    ledger.update(entry(3, "m"), now);
  }

  private static EndpointReport report(long sequence, boolean busy, String... artifacts) {
    return new EndpointReport(entry(1, artifacts).models(), busy, sequence, 1, Set.of());
  }

  private static DirectoryEntry entry(long heartbeat, String... artifacts) {
    return TestEntries.entry("a", heartbeat, artifacts);
  }

  private EndpointOrder order(Operation operation, String artifact) {
    long sequence = ledger.view(ENGINE, 0, now).sequence();
    return new EndpointOrder(
        entry(1).identity(), operation, Artifact.parse(artifact), sequence, "self", 1);
  }

  private EndpointOrder accepted(Operation operation, String artifact) {
    EndpointOrder order = order(operation, artifact);
    ledger.opened(order, now);
    ledger.accepted(order, now);
    pass(100);
    return order;
  }

  private void pass(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private EndpointView view() {
    return ledger.view(ENGINE, 0, now);
  }

  @Test
  void endpointMustReportThatItIsNotBusyBeforeItIsGivenOrders() {
    EndpointLedger fresh = EndpointLedger.ofKnownEndpoint(entry(1, "m"), now);
    assertThat(fresh.view(ENGINE, 0, now).busy()).isTrue();
    fresh.reported(report(5, true, "m"), now);
    assertThat(fresh.view(ENGINE, 0, now).busy()).isTrue();
    fresh.reported(report(5, false, "m", "n"), now);
    assertThat(fresh.view(ENGINE, 0, now).busy()).isFalse();
    // The entry is older than the report and lacks the model that an earlier holder loaded.
    assertThat(fresh.view(ENGINE, 0, now).usedMb()).isEqualTo(140);
  }

  @Test
  void newEndpointIsAskedAtOnceAndOneOfAnotherHolderOnlyWhenItsReportShowsTheLastOrder() {
    assertThat(EndpointLedger.ofNewEndpoint(entry(1), now).isReportDue(now)).isTrue();
    EndpointLedger known = EndpointLedger.ofKnownEndpoint(entry(1), now);
    assertThat(known.isReportDue(now)).isFalse();
    pass(600);
    assertThat(known.isReportDue(now)).isTrue();
  }

  @Test
  void conflictMakesTheEndpointReportLateEnoughToShowWhatItDoes() {
    ledger.needReport(now);
    assertThat(view().busy()).isTrue();
    assertThat(ledger.isReportDue(now)).isFalse();
    pass(400);
    assertThat(ledger.isReportDue(now)).isFalse();
    pass(200);
    assertThat(ledger.isReportDue(now)).isTrue();
  }

  @Test
  void reportThatHasPassedAnUnansweredOrderShowsThatItWasAccepted() {
    EndpointOrder order = order(Operation.LOAD, "n");
    ledger.opened(order, now);
    pass(600);
    ledger.reported(report(6, false, "m"), now);
    assertThat(ledger.unanswered(now)).isEmpty();
    assertThat(view().usedMb()).isEqualTo(140);
  }

  @Test
  void adapterThatWasDroppedAndLoadedAgainCounts() {
    accepted(Operation.LOAD, "m/a1");
    accepted(Operation.UNLOAD, "m/a1");
    accepted(Operation.LOAD, "m/a1");
    ledger.update(entry(4, "m", "m/a1"), now);
    ledger.update(entry(9, "m", "m/a1"), now);
    accepted(Operation.LOAD, "m/a2");
    assertThat(view().adapters()).hasSize(2);
    assertThat(view().fits(Artifact.parse("m/a3"))).isFalse();
  }

  @Test
  void entryThatWasOnItsWayDoesNotSettleAnAdapterOrder() {
    ledger.update(entry(4, "m", "m/a1"), now);
    accepted(Operation.UNLOAD, "m/a1");
    accepted(Operation.LOAD, "m/a1");
    // Written before both commands, read after them.
    ledger.update(entry(5, "m", "m/a1"), now);
    // Written between them.
    ledger.update(entry(5, "m"), now);
    assertThat(view().adapters()).containsExactly(Artifact.parse("m/a1"));
  }

  @Test
  void orderWithoutAnAnswerCountsAgainstMemoryAndIsSentAgain() {
    EndpointOrder order = order(Operation.LOAD, "n");
    ledger.opened(order, now);
    pass(500);
    assertThat(ledger.unanswered(now)).containsExactly(order);
    assertThat(view().busy()).isTrue();
    assertThat(view().usedMb()).isEqualTo(140);
    ledger.update(entry(7, "m"), now);
    assertThat(view().usedMb()).isEqualTo(140);
  }

  @Test
  void orderWithoutAnAnswerIsGivenUpOnlyWhenItCanTakeEffectNoMore() {
    ledger.opened(order(Operation.LOAD, "n"), now);
    pass(12_000);
    ledger.update(entry(8, "m"), now);
    assertThat(view().usedMb()).isEqualTo(140);
    pass(1_500);
    ledger.update(entry(9, "m"), now);
    assertThat(view().usedMb()).isEqualTo(70);
  }

  @Test
  void reportThatLagsDoesNotTakeTheSequenceBack() {
    accepted(Operation.LOAD, "m/a1");
    ledger.reported(report(5, false, "m"), now);
    assertThat(view().sequence()).isEqualTo(6);
    pass(2_000);
    ledger.reported(report(5, false, "m"), now);
    assertThat(view().sequence()).isEqualTo(5);
  }

  @Test
  void modelThatIsBeingLoadedCountsUntilTheEntryShowsIt() {
    accepted(Operation.LOAD, "n");
    ledger.update(entry(5, "m"), now);
    assertThat(view().busy()).isTrue();
    assertThat(view().usedMb()).isEqualTo(140);
    ledger.update(entry(6, "m", "n"), now);
    assertThat(view().busy()).isFalse();
    assertThat(view().isReady(Artifact.parse("n"))).isTrue();
  }

  @Test
  void unreachableEndpointHoldsNothingForAWhile() {
    ledger.unreachable(now);
    assertThat(view().isUsable()).isFalse();
    pass(2_000);
    assertThat(view().isUsable()).isTrue();
    ledger.replaced();
    assertThat(view().isUsable()).isFalse();
  }
}
