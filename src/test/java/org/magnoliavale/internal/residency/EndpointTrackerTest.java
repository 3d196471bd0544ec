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
import org.magnoliavale.internal.residency.EndpointCommand.Operation;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

class EndpointTrackerTest {
  private static final EngineSpecification ENGINE =
      new EngineSpecification(8, 1_000, 220, 2, 1, Map.of("m", model("m"), "n", model("n")));

  private long now = TimeUnit.SECONDS.toNanos(100);
  private EndpointTracker tracker;

  private static ModelSpecification model(String name) {
    Duration second = Duration.ofSeconds(1);
    return new ModelSpecification(name, 70, second, second, second, 10, 1);
  }

  @BeforeEach
  void start() {
    tracker = EndpointTracker.ofKnownEndpoint(entry(1, "m"), now);
    tracker.applyReport(report(5, false, "m"), now);
    tracker.update(entry(3, "m"), now);
  }

  private static EndpointReport report(long sequence, boolean busy, String... artifacts) {
    return new EndpointReport(entry(1, artifacts).models(), busy, sequence, 1, Set.of());
  }

  private static DirectoryEntry entry(long heartbeat, String... artifacts) {
    return TestEntries.entry("a", heartbeat, artifacts);
  }

  private EndpointCommand command(Operation operation, String artifact) {
    long sequence = tracker.view(ENGINE, 0, now).sequence();
    return new EndpointCommand(
        entry(1).identity(), operation, Artifact.parse(artifact), sequence, "self", 1);
  }

  private EndpointCommand accept(Operation operation, String artifact) {
    EndpointCommand command = command(operation, artifact);
    tracker.addPending(command, now);
    tracker.markAccepted(command, now);
    advance(100);
    return command;
  }

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  @Test
  void unloadOfAModelThatIsGoneIsNotPlannedAgainFromTheOldEntry() {
    EndpointCommand command = command(Operation.UNLOAD, "m");
    tracker.addPending(command, now);
    tracker.markDone(command, now);
    advance(100);
    assertThat(view().busy()).isTrue();
    assertThat(view().sequence()).isEqualTo(5);
    tracker.update(entry(4), now);
    assertThat(view().busy()).isFalse();
    assertThat(view().artifacts()).isEmpty();
  }

  private EndpointView view() {
    return tracker.view(ENGINE, 0, now);
  }

  @Test
  void endpointMustReportThatItIsNotBusyBeforeItGetsCommands() {
    EndpointTracker fresh = EndpointTracker.ofKnownEndpoint(entry(1, "m"), now);
    assertThat(fresh.view(ENGINE, 0, now).busy()).isTrue();
    fresh.applyReport(report(5, true, "m"), now);
    assertThat(fresh.view(ENGINE, 0, now).busy()).isTrue();
    fresh.applyReport(report(5, false, "m", "n"), now);
    assertThat(fresh.view(ENGINE, 0, now).busy()).isFalse();
    // The entry is older than the report and lacks the model that an earlier holder loaded.
    assertThat(fresh.view(ENGINE, 0, now).usedMb()).isEqualTo(140);
  }

  @Test
  void reportIsDueAtOnceForANewEndpointAndLaterForOneOfAPreviousHolder() {
    assertThat(EndpointTracker.ofNewEndpoint(entry(1), now).isReportDue(now)).isTrue();
    EndpointTracker known = EndpointTracker.ofKnownEndpoint(entry(1), now);
    assertThat(known.isReportDue(now)).isFalse();
    advance(600);
    assertThat(known.isReportDue(now)).isTrue();
  }

  @Test
  void requiredReportIsDueOnlyAfterTheReportLag() {
    tracker.requireReport(now);
    assertThat(view().busy()).isTrue();
    assertThat(tracker.isReportDue(now)).isFalse();
    advance(400);
    assertThat(tracker.isReportDue(now)).isFalse();
    advance(200);
    assertThat(tracker.isReportDue(now)).isTrue();
  }

  @Test
  void reportWithAHigherSequenceConfirmsAnUnansweredCommand() {
    EndpointCommand command = command(Operation.LOAD, "n");
    tracker.addPending(command, now);
    advance(600);
    tracker.applyReport(report(6, false, "m"), now);
    assertThat(tracker.unanswered(now)).isEmpty();
    assertThat(view().usedMb()).isEqualTo(140);
  }

  @Test
  void adapterThatWasUnloadedAndLoadedAgainCounts() {
    accept(Operation.LOAD, "m/a1");
    accept(Operation.UNLOAD, "m/a1");
    accept(Operation.LOAD, "m/a1");
    tracker.update(entry(4, "m", "m/a1"), now);
    tracker.update(entry(9, "m", "m/a1"), now);
    accept(Operation.LOAD, "m/a2");
    assertThat(view().adapters()).hasSize(2);
    assertThat(view().fits(Artifact.parse("m/a3"))).isFalse();
  }

  @Test
  void entryWrittenBeforeAnAdapterCommandDoesNotCompleteIt() {
    tracker.update(entry(4, "m", "m/a1"), now);
    accept(Operation.UNLOAD, "m/a1");
    accept(Operation.LOAD, "m/a1");
    // Written before both commands, read after them.
    tracker.update(entry(5, "m", "m/a1"), now);
    // Written between them.
    tracker.update(entry(5, "m"), now);
    assertThat(view().adapters()).containsExactly(Artifact.parse("m/a1"));
  }

  @Test
  void adaptersOfAnUnloadedModelAreGone() {
    tracker.update(entry(4, "m", "n"), now);
    accept(Operation.LOAD, "n/a1");
    accept(Operation.UNLOAD, "n");
    tracker.update(entry(5, "m"), now);
    assertThat(view().holds(Artifact.parse("n/a1"))).isFalse();
    assertThat(view().fits(Artifact.parse("m/a2"))).isTrue();
  }

  @Test
  void entryThatJumpsAheadDoesNotHideWhatALaterReportShowed() {
    EndpointTracker known = EndpointTracker.ofKnownEndpoint(entry(1), now);
    known.applyReport(report(9, false, "m", "m/a1", "m/a2"), now);
    advance(200);
    // Written when the model was loaded, before the adapters and before the report.
    known.update(entry(8, "m"), now);
    EndpointView view = known.view(ENGINE, 0, now);
    assertThat(view.sequence()).isEqualTo(9);
    assertThat(view.adapters()).hasSize(2);
    assertThat(view.fits(Artifact.parse("m/a3"))).isFalse();
  }

  @Test
  void entryThatWasKeptUnchangedDoesNotReplaceAReport() {
    tracker.applyReport(report(9, false, "m", "m/a1"), now);
    advance(30_000);
    tracker.update(entry(3, "m"), now);
    assertThat(view().adapters()).containsExactly(Artifact.parse("m/a1"));
  }

  @Test
  void entryThatChangedLongAfterAReportReplacesIt() {
    tracker.applyReport(report(9, false, "m", "m/a1"), now);
    advance(30_000);
    tracker.update(entry(4, "m", "m/a2"), now);
    assertThat(view().adapters()).containsExactly(Artifact.parse("m/a2"));
  }

  @Test
  void reportDoesNotBringBackAnAdapterThatIsBeingUnloaded() {
    tracker.update(entry(4, "m", "m/a1"), now);
    accept(Operation.UNLOAD, "m/a1");
    tracker.applyReport(report(6, false, "m", "m/a1"), now);
    advance(30_000);
    tracker.update(entry(4, "m"), now);
    assertThat(view().adapters()).isEmpty();
  }

  @Test
  void commandWithoutAResponseReservesMemoryAndIsResent() {
    EndpointCommand command = command(Operation.LOAD, "n");
    tracker.addPending(command, now);
    advance(500);
    assertThat(tracker.unanswered(now)).containsExactly(command);
    assertThat(view().busy()).isTrue();
    assertThat(view().usedMb()).isEqualTo(140);
    tracker.update(entry(7, "m"), now);
    assertThat(view().usedMb()).isEqualTo(140);
  }

  @Test
  void commandWithoutAResponseExpiresOnlyOnceItCanNoLongerTakeEffect() {
    tracker.addPending(command(Operation.LOAD, "n"), now);
    advance(12_000);
    tracker.update(entry(8, "m"), now);
    assertThat(view().usedMb()).isEqualTo(140);
    advance(1_500);
    tracker.update(entry(9, "m"), now);
    assertThat(view().usedMb()).isEqualTo(70);
  }

  @Test
  void delayedReportDoesNotDecreaseTheSequence() {
    accept(Operation.LOAD, "m/a1");
    tracker.applyReport(report(5, false, "m"), now);
    assertThat(view().sequence()).isEqualTo(6);
    advance(2_000);
    tracker.applyReport(report(5, false, "m"), now);
    assertThat(view().sequence()).isEqualTo(5);
  }

  @Test
  void loadingModelStaysPendingUntilTheEntryShowsIt() {
    accept(Operation.LOAD, "n");
    tracker.update(entry(5, "m"), now);
    assertThat(view().busy()).isTrue();
    assertThat(view().usedMb()).isEqualTo(140);
    tracker.update(entry(6, "m", "n"), now);
    assertThat(view().busy()).isFalse();
    assertThat(view().isReady(Artifact.parse("n"))).isTrue();
  }

  @Test
  void unreachableEndpointIsUnusableForALimitedTime() {
    tracker.markUnreachable(now);
    assertThat(view().isUsable()).isFalse();
    advance(2_000);
    assertThat(view().isUsable()).isTrue();
    tracker.markReplaced();
    assertThat(view().isUsable()).isFalse();
  }
}
