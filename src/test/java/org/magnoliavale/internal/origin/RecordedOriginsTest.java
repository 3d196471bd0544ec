package org.magnoliavale.internal.origin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.call.StreamOrigin;
import org.magnoliavale.internal.call.StreamOrigins.Recording;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.gateway.FakeTable;

class RecordedOriginsTest {
  private static final SoftwareVersion V1 = new SoftwareVersion("v1");
  private static final SoftwareVersion V2 = new SoftwareVersion("v2");
  private static final SoftwareVersion V3 = new SoftwareVersion("v3");
  private static final Duration LONGEST_STREAM = Duration.ofSeconds(25);
  private static final long LIFETIME_MS = 60_000;

  private final SimulatedTable table = new SimulatedTable();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private RecordedOrigins origins;

  @BeforeEach
  void start() {
    origins = newInstance();
  }

  private RecordedOrigins newInstance() {
    return RecordedOrigins.of(
        table, Runnable::run, () -> true, new TestStreams(LONGEST_STREAM), () -> nowNanos);
  }

  /** Lets an instance read that endpoints with these versions are listed, oldest first. */
  private void list(RecordedOrigins instance, SoftwareVersion... versions) {
    List<DirectoryEntry> entries = new ArrayList<>();
    for (int i = 0; i < versions.length; i++) {
      DirectoryEntry entry = TestEntries.incarnation("e" + i, i + 1, "m");
      entries.add(TestEntries.withVersion(entry, versions[i].text()));
    }
    instance.update(entries);
  }

  private void advance(long milliseconds) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private Recording begin(RecordedOrigins instance, String id, SoftwareVersion version) {
    return instance.begin(TestEntries.SERVICE, id, version, LONGEST_STREAM, written -> {});
  }

  private boolean isWritten(RecordedOrigins instance, String id, SoftwareVersion version) {
    List<Boolean> results = new ArrayList<>();
    instance.begin(TestEntries.SERVICE, id, version, LONGEST_STREAM, results::add);
    return results.getFirst();
  }

  private StreamOrigin find(RecordedOrigins instance, String id) {
    List<StreamOrigin> results = new ArrayList<>();
    instance.find(TestEntries.SERVICE, id, results::add);
    return results.getFirst();
  }

  private static StreamOrigin known(SoftwareVersion version) {
    return new StreamOrigin.Known(version);
  }

  /** An instance that has served streams at the first version. */
  private void serveFirstVersion() {
    list(origins, V1, V1);
    begin(origins, "earlier", V1);
    list(origins, V1, V1);
  }

  @Nested
  class OneVersion {
    @Test
    void costsNoWritesAfterTheFirstStream() {
      serveFirstVersion();
      int writes = table.writes();
      assertThat(begin(origins, "a", V1)).isEqualTo(Recording.NOT_NEEDED);
      list(origins, V1, V1, V1);
      assertThat(table.writes()).isEqualTo(writes);
    }

    @Test
    void isWhereEveryStreamGoesOn() {
      serveFirstVersion();
      assertThat(find(origins, "a")).isEqualTo(known(V1));
      assertThat(find(origins, "")).isEqualTo(known(V1));
    }

    @Test
    void mayNotBeTheOnlyOneWhileNothingCanBeRead() {
      serveFirstVersion();
      table.setAvailable(false);
      assertThat(find(origins, "a")).isInstanceOf(StreamOrigin.Unavailable.class);
    }

    @Test
    void isWhereAStreamWithoutANameGoesOnIfItWasListedAloneJustNow() {
      serveFirstVersion();
      assertThat(find(origins, "")).isEqualTo(known(V1));
      advance(20_000);
      assertThat(find(origins, "")).isInstanceOf(StreamOrigin.Unknown.class);
    }
  }

  @Nested
  class TwoVersions {
    @BeforeEach
    void rollOut() {
      serveFirstVersion();
      list(origins, V1, V1, V2);
    }

    @Test
    void areToldApartByAnInstanceThatStartsLater() {
      assertThat(begin(origins, "a", V1)).isEqualTo(Recording.NOT_NEEDED);
      assertThat(begin(origins, "b", V2)).isEqualTo(Recording.PENDING);
      RecordedOrigins later = newInstance();
      list(later, V2, V1);
      assertThat(find(later, "earlier")).isEqualTo(known(V1));
      assertThat(find(later, "a")).isEqualTo(known(V1));
      assertThat(find(later, "b")).isEqualTo(known(V2));
    }

    @Test
    void areToldApartAfterTheFirstOneHasLeft() {
      begin(origins, "b", V2);
      RecordedOrigins later = newInstance();
      list(later, V2);
      assertThat(find(later, "a")).isEqualTo(new StreamOrigin.Gone(V1));
      assertThat(find(later, "b")).isEqualTo(known(V2));
    }

    @Test
    void areToldApartAfterTheFirstOneHasLeftAndComeBack() {
      begin(origins, "b", V2);
      list(origins, V2);
      advance(20_000);
      list(origins, V2);
      begin(origins, "c", V2);
      list(origins, V2, V1);
      assertThat(find(origins, "a")).isInstanceOf(StreamOrigin.Unknown.class);
      assertThat(begin(origins, "d", V1)).isEqualTo(Recording.PENDING);
      RecordedOrigins later = newInstance();
      list(later, V1, V2);
      assertThat(find(later, "c")).isEqualTo(known(V2));
      assertThat(find(later, "d")).isEqualTo(known(V1));
    }

    @Test
    void areToldApartByAnInstanceThatHasNotSeenTheSecondOne() {
      begin(origins, "b", V2);
      RecordedOrigins behind = newInstance();
      list(behind, V1);
      assertThat(find(behind, "a")).isEqualTo(known(V1));
      assertThat(find(behind, "b")).isEqualTo(known(V2));
    }

    @Test
    void leaveAStreamWithoutANameUnknown() {
      assertThat(find(origins, "")).isInstanceOf(StreamOrigin.Unknown.class);
    }

    @Test
    void leaveStreamsUnavailableWhileNothingCanBeRead() {
      table.setAvailable(false);
      assertThat(find(origins, "a")).isInstanceOf(StreamOrigin.Unavailable.class);
    }

    @Test
    void beginAtTheFirstOneOnlyWhileNothingCanBeWritten() {
      table.setAnswering(false);
      assertThat(origins.onlyBeginning(TestEntries.SERVICE)).isEmpty();
      assertThat(isWritten(origins, "b", V2)).isFalse();
      assertThat(origins.onlyBeginning(TestEntries.SERVICE)).contains(V1);
      assertThat(begin(origins, "c", V1)).isEqualTo(Recording.NOT_NEEDED);
      table.setAnswering(true);
      list(origins, V1, V1, V2);
      assertThat(origins.onlyBeginning(TestEntries.SERVICE)).isEmpty();
      assertThat(isWritten(origins, "d", V2)).isTrue();
    }

    @Test
    void leaveTheRecordInTheTableUntilItsStreamMustHaveEnded() {
      begin(origins, "b", V2);
      advance(LIFETIME_MS - 10_000);
      list(origins, V1, V2);
      assertThat(find(newInstance(), "b")).isEqualTo(known(V2));
      advance(30_000);
      list(origins, V1, V2);
      assertThat(table.contents().scan("stream/").toString()).doesNotContain("stream/");
    }

    @Test
    void mayBeFollowedByAThirdOne() {
      list(origins, V1, V2, V3);
      begin(origins, "c", V3);
      RecordedOrigins later = newInstance();
      list(later, V3, V2);
      assertThat(find(later, "a")).isEqualTo(new StreamOrigin.Gone(V1));
      assertThat(find(later, "c")).isEqualTo(known(V3));
    }

    @Test
    void becomeOneOnceAllStreamsOfTheFirstOneHaveEnded() {
      RecordedOrigins other = newInstance();
      list(other, V1, V2);
      find(other, "a");
      begin(origins, "b", V2);
      for (int i = 0; i < 14; i++) {
        advance(5_000);
        list(origins, V2);
        list(other, V2);
      }
      assertThat(begin(origins, "c", V2)).isEqualTo(Recording.NOT_NEEDED);
      assertThat(find(other, "c")).isEqualTo(known(V2));
      assertThat(find(other, "b")).isEqualTo(known(V2));
      list(other, V2, V1);
      assertThat(begin(other, "d", V1)).isEqualTo(Recording.PENDING);
      assertThat(find(origins, "d")).isEqualTo(known(V1));
    }
  }

  @Test
  void aVersionThatTakesThePlaceOfTheFirstAtOnceIsToldApart() {
    serveFirstVersion();
    list(origins, V2);
    assertThat(begin(origins, "b", V2)).isEqualTo(Recording.PENDING);
    RecordedOrigins later = newInstance();
    list(later, V2);
    assertThat(find(later, "a")).isEqualTo(new StreamOrigin.Gone(V1));
    assertThat(find(later, "b")).isEqualTo(known(V2));
  }

  @Test
  void instancesThatMeetTwoVersionsFirstAgreeOnTheOlderOne() {
    RecordedOrigins other = newInstance();
    list(origins, V1, V2);
    list(other, V1, V2);
    begin(origins, "a", V1);
    begin(other, "b", V2);
    RecordedOrigins later = newInstance();
    list(later, V2, V1);
    assertThat(find(later, "a")).isEqualTo(known(V1));
    assertThat(find(later, "b")).isEqualTo(known(V2));
    assertThat(find(later, "unknown")).isEqualTo(known(V1));
  }

  @Test
  void recordsThatACopyMayHaveLostAreNotGuessed() {
    serveFirstVersion();
    list(origins, V1, V2);
    FakeTable copy = table.contents().copy();
    begin(origins, "b", V2);
    table.contents().restore(copy);
    list(origins, V1, V2);
    assertThat(find(origins, "b")).isInstanceOf(StreamOrigin.Unknown.class);
    assertThat(isWritten(origins, "c", V2)).isTrue();
    assertThat(find(origins, "c")).isEqualTo(known(V2));
    advance(LIFETIME_MS);
    list(origins, V1, V2);
    assertThat(find(origins, "a")).isEqualTo(known(V1));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\u0000", "/../op/config", "\"", "é\ud800", " "})
  void attemptsMayHaveAnyName(String id) {
    serveFirstVersion();
    list(origins, V1, V2);
    String name = id.repeat(64 << 10);
    begin(origins, name, V2);
    begin(origins, id, V1);
    assertThat(find(newInstance(), name)).isEqualTo(known(V2));
  }

  @Test
  void aRowThatCannotBeReadIsNotGuessed() {
    serveFirstVersion();
    list(origins, V1, V2);
    begin(origins, "b", V2);
    String key = table.contents().scan("stream/").toString().replaceAll(".*(stream/\\w+).*", "$1");
    table
        .contents()
        .commit(org.magnoliavale.internal.platform.Transaction.builder().write(key, "odd").build());
    assertThat(find(origins, "b")).isInstanceOf(StreamOrigin.Unavailable.class);
  }
}
