package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.gateway.FakeTable;
import org.magnoliavale.internal.origin.RecordedOrigins;
import org.magnoliavale.internal.origin.TestStreams;

/**
 * Guards against a stream whose first part came from one version of the endpoints' software and
 * whose rest, after its caller has taken it up, comes from another.
 */
class StreamTakeUpTest extends CallFixture {
  private final FakeTable table = new FakeTable();
  private final Deque<Runnable> blockedCalls = new ArrayDeque<>();
  private boolean blocked;
  private RecordedOrigins origins = newOrigins();

  private RecordedOrigins newOrigins() {
    return RecordedOrigins.of(
        table, this::execute, () -> true, new TestStreams(Duration.ofSeconds(10)), () -> now);
  }

  private void execute(Runnable tableCall) {
    if (blocked) {
      blockedCalls.add(tableCall);
    } else {
      tableCall.run();
    }
  }

  private void unblock() {
    blocked = false;
    while (!blockedCalls.isEmpty()) {
      blockedCalls.remove().run();
    }
  }

  @Override
  StreamOrigins origins() {
    return new StreamOriginsOf(this::currentOrigins);
  }

  private RecordedOrigins currentOrigins() {
    return origins;
  }

  private static DirectoryEntry entry(String id, String version, String... artifacts) {
    long startedAtMs = version.charAt(1);
    return TestEntries.withVersion(TestEntries.incarnation(id, startedAtMs, artifacts), version);
  }

  private void list(DirectoryEntry... entries) {
    origins.update(List.of(entries));
    updateEndpoints(entries);
    calls.endpointsChanged();
  }

  /** Ends all instances at once; one starts again and reads that these endpoints are listed. */
  private void restartAll(DirectoryEntry... entries) {
    origins = newOrigins();
    caller = new RecordingCaller();
    list(entries);
  }

  private void takeUp(String attempt) {
    call(
        "/stream/x",
        "X-Model",
        "m",
        "X-Request-Attempt-Id",
        "id-2",
        "Last-Event-Id",
        "1",
        "Resumes",
        attempt);
  }

  /** One version has been in service, and the second one has just come. */
  @BeforeEach
  void rollOut() {
    list(entry("a", "v1", "m"));
    call("/stream/x", "X-Model", "m", "X-Request-Attempt-Id", "id-0");
    connector.last().respond(200, EVENT_ONE);
    caller = new RecordingCaller();
  }

  @Nested
  class StreamOfTheSecondVersion {
    @BeforeEach
    void begin() {
      list(entry("b", "v2", "m"));
      call("/stream/x", "X-Model", "m");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
    }

    @Test
    void goesOnThereAfterAllInstancesHaveEnded() {
      restartAll(entry("a", "v1", "m"), entry("c", "v1", "m"), entry("d", "v2", "m"));
      takeUp("id-1");
      assertThat(connector.last().endpoint()).isEqualTo("d");
      connector.last().respond(200, EVENT_TWO);
      assertThat(caller.body()).isEqualTo(EVENT_TWO);
    }

    @Test
    void isRejectedAtOnceAfterItsVersionHasLeft() {
      restartAll(entry("a", "v1", "m"), entry("e", "v3", "m"));
      int sent = connector.sent().size();
      takeUp("id-1");
      assertThat(connector.sent()).hasSize(sent);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(caller.body()).contains("stream-version-gone");
    }

    @Test
    void waitsForItsModelThere() {
      restartAll(entry("a", "v1", "m"), entry("d", "v2"));
      int sent = connector.sent().size();
      takeUp("id-1");
      assertThat(connector.sent()).hasSize(sent);
      list(entry("a", "v1", "m"), entry("d", "v2", "m"));
      assertThat(connector.last().endpoint()).isEqualTo("d");
    }

    @Test
    void goesOnThereAfterATakeUpThatBroughtNoEvent() {
      restartAll(entry("d", "v2", "m"));
      takeUp("id-1");
      connector.last().failAfterSend();
      restartAll(entry("a", "v1", "m"), entry("c", "v1", "m"), entry("d", "v2", "m"));
      takeUp("id-1");
      assertThat(connector.last().endpoint()).isEqualTo("d");
    }
  }

  @Nested
  class StreamOfTheFirstVersion {
    @Test
    void goesOnThereAfterAllInstancesHaveEnded() {
      list(entry("a", "v1", "m"), entry("b", "v2", "m"));
      restartAll(entry("c", "v1", "m"), entry("b", "v2", "m"), entry("d", "v2", "m"));
      takeUp("id-0");
      assertThat(connector.last().endpoint()).isEqualTo("c");
    }

    @Test
    void isRejectedAtOnceAfterItsVersionHasLeft() {
      list(entry("a", "v1", "m"), entry("b", "v2", "m"));
      restartAll(entry("b", "v2", "m"));
      int sent = connector.sent().size();
      takeUp("id-0");
      assertThat(connector.sent()).hasSize(sent);
      assertThat(caller.body()).contains("stream-version-gone");
    }
  }

  @Nested
  class FirstEvent {
    @BeforeEach
    void blockTable() {
      list(entry("b", "v2", "m"), entry("c", "v2", "m"), entry("a", "v1"));
      blocked = true;
      call("/long/x", "X-Model", "m");
    }

    @Test
    void waitsForTheRecord() {
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      assertThat(caller.body()).isEmpty();
      unblock();
      assertThat(caller.body()).isEqualTo(EVENT_ONE);
      connector.last().content(EVENT_TWO);
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
    }

    @Test
    void isFollowedByAnEndThatCameMeanwhile() {
      connector.last().respond(200, EVENT_ONE);
      assertThat(caller.ending()).isEqualTo("open");
      unblock();
      assertThat(caller.body()).isEqualTo(EVENT_ONE);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void isFollowedByAnotherEndpointIfItsOwnFailsMeanwhile() {
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      connector.last().failAfterSend();
      list(entry("b", "v2", "m"), entry("c", "v2", "m"), entry("a", "v1", "m"));
      unblock();
      assertThat(caller.body()).isEqualTo(EVENT_ONE);
      assertThat(endpoints().subList(1, 3)).containsExactlyInAnyOrder("b", "c");
    }

    @Test
    void doesNotComeFromAnotherVersionAfterARecordWasBegun() {
      list(entry("b", "v2"), entry("c", "v2"), entry("a", "v1", "m"));
      connector.last().failAfterSend();
      assertThat(connector.sent()).hasSize(2);
    }
  }

  @Test
  void anInstanceThatStopsRejectsATakeUpWhoseOriginIsBeingRead() {
    list(entry("a", "v1", "m"), entry("b", "v2", "m"));
    blocked = true;
    takeUp("id-0");
    calls.rejectAll();
    assertThat(caller.status()).isEqualTo(503);
    int sent = connector.sent().size();
    unblock();
    assertThat(connector.sent()).hasSize(sent);
  }

  @Test
  void aTakeUpThatNamesNoAttemptIsRejectedWhileTwoVersionsAreInService() {
    list(entry("a", "v1", "m"), entry("b", "v2", "m"));
    int sent = connector.sent().size();
    call("/stream/x", "X-Model", "m", "Last-Event-Id", "1");
    assertThat(connector.sent()).hasSize(sent);
    assertThat(caller.status()).isEqualTo(503);
    assertThat(caller.body()).contains("stream-origin-unknown");
  }
}
