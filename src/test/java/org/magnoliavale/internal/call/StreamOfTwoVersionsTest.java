package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Guards against one answer with events from two versions of the endpoints' software. */
class StreamOfTwoVersionsTest extends CallFixture {
  private static DirectoryEntry entry(String id, String version) {
    return TestEntries.withVersion(TestEntries.entry(id, 1, "m"), version);
  }

  private static DirectoryEntry busy(String id, String version) {
    return TestEntries.withVersion(TestEntries.entry(id, 1), version);
  }

  @Nested
  class OneAnswer {
    @BeforeEach
    void beginAtTheFirstVersion() {
      updateEndpoints(entry("a", "v1"));
      call("/long/x", "X-Model", "m");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
    }

    @Test
    void doesNotGoOnAtAnotherVersion() {
      updateEndpoints(entry("a", "v1"), entry("b", "v2"), entry("c", "v3"));
      connector.last().failAfterSend();
      assertThat(endpoints()).containsExactly("a");
      assertThat(caller.ending()).isEqualTo("aborted");
    }

    @Test
    void goesOnAtTheSameVersion() {
      updateEndpoints(entry("a", "v1"), entry("b", "v2"), entry("c", "v2"), entry("d", "v1"));
      connector.last().failAfterSend();
      assertThat(endpoints()).containsExactly("a", "d");
      connector.last().respond(200, EVENT_TWO);
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
    }

    @Test
    void waitsForItsModelAtTheSameVersion() {
      updateEndpoints(entry("a", "v1"), entry("b", "v2"), busy("d", "v1"));
      connector.last().failAfterSend();
      assertThat(endpoints()).containsExactly("a");
      assertThat(caller.ending()).isEqualTo("open");
      updateEndpoints(entry("b", "v2"), entry("d", "v1"));
      calls.endpointsChanged();
      assertThat(endpoints()).containsExactly("a", "d");
    }

    @Test
    void isNotSentBesideASilentEndpointToAnotherVersion() {
      updateEndpoints(entry("a", "v1"), entry("b", "v2"));
      advance(1_500);
      advance(1_500);
      assertThat(endpoints()).containsExactly("a");
    }
  }

  @Test
  void aCallWithoutEventsYetGoesToAnyVersion() {
    updateEndpoints(entry("a", "v1"));
    call("/long/x", "X-Model", "m");
    updateEndpoints(entry("a", "v1"), entry("b", "v2"));
    connector.last().failAfterSend();
    assertThat(endpoints()).containsExactly("a", "b");
  }
}
