package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.containment.CrashCount;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.link.CrashRecords;
import org.magnoliavale.internal.link.protocol.CrashRecord;

class CrashDetectorTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final CrashRegistry registry = new CrashRegistry("self", () -> Instant.EPOCH);
  private final CrashRegistry peerRegistry = new CrashRegistry("peer", () -> Instant.EPOCH);
  private final List<DirectoryEntry> probed = new ArrayList<>();
  private final CrashDetector detector = new CrashDetector(registry, probed::add);
  private final CrashDetector peer = new CrashDetector(peerRegistry, endpoint -> {});
  private long nowNanos = 100 * SECOND_NANOS;
  private int requests;

  /** Returns the keys of a request that no other one is alike. */
  private CrashKeys request(String... segments) {
    requests++;
    return new CrashKeys(
        Fingerprint.of("/" + requests, new byte[0]),
        List.of(segments).stream().map(Fingerprint::ofSegment).toList());
  }

  private static DirectoryEntry endpoint(int number) {
    return TestEntries.entry("e" + number, 1);
  }

  private static EndpointIdentity identity(int number) {
    return endpoint(number).identity();
  }

  private void crash(CrashDetector observer, int endpoint, String... segments) {
    observer.connectionLost(request(segments), endpoint(endpoint), nowNanos);
    observer.endpointDown(identity(endpoint), nowNanos);
  }

  private void exchange() {
    peerRegistry.localCounts().stream()
        .map(CrashRecords::of)
        .forEach(record -> registry.merge("peer", CrashRecords.toCount("peer", record)));
    registry.localCounts().stream()
        .map(CrashRecords::of)
        .forEach(record -> peerRegistry.merge("self", CrashRecords.toCount("self", record)));
  }

  @Nested
  class Segment {
    @Test
    void isBlockedAfterThreeCrashesWhateverElseTheRequestHolds() {
      crash(detector, 1, "a", "deadly");
      crash(detector, 2, "b", "deadly");
      assertThat(detector.isBlocked(request("c", "deadly"))).isFalse();
      crash(detector, 3, "deadly", "c");
      assertThat(detector.isBlocked(request("d", "deadly"))).isTrue();
      assertThat(detector.isBlocked(request("a", "b", "c"))).isFalse();
    }

    @Test
    void thatWasAnsweredIsBlockedOnlyAfterFiveCrashesWithoutAnAnswer() {
      detector.answered(request("common"), nowNanos);
      for (int endpoint = 1; endpoint <= 4; endpoint++) {
        crash(detector, endpoint, "common");
      }
      assertThat(detector.isBlocked(request("common"))).isFalse();
      crash(detector, 5, "common");
      assertThat(detector.isBlocked(request("common"))).isTrue();
    }

    @Test
    void isNotCountedForACrashBeforeItsLastCompleteAnswer() {
      for (int endpoint = 1; endpoint <= 6; endpoint++) {
        detector.connectionLost(request("common"), endpoint(endpoint), nowNanos);
      }
      nowNanos += SECOND_NANOS;
      detector.answered(request("common"), nowNanos);
      nowNanos += SECOND_NANOS;
      for (int endpoint = 1; endpoint <= 6; endpoint++) {
        detector.endpointDown(identity(endpoint), nowNanos);
      }
      assertThat(detector.isBlocked(request("common"))).isFalse();
    }

    @Test
    void isFreeAgainWithACompleteAnswer() {
      for (int endpoint = 1; endpoint <= 3; endpoint++) {
        crash(detector, endpoint, "common");
      }
      detector.answered(request("common"), nowNanos);
      assertThat(detector.isBlocked(request("common"))).isFalse();
    }

    @Test
    void isFreeAgainWithACompleteAnswerAtAPeer() {
      for (int endpoint = 1; endpoint <= 3; endpoint++) {
        crash(detector, endpoint, "common");
      }
      exchange();
      assertThat(peer.isBlocked(request("common"))).isTrue();
      peer.answered(request("common"), nowNanos);
      exchange();
      assertThat(detector.isBlocked(request("common"))).isFalse();
    }
  }

  @Nested
  class CrashThatSeveralInstancesObserve {
    @Test
    void countsOnce() {
      for (CrashDetector observer : List.of(detector, peer)) {
        crash(observer, 1, "segment");
        crash(observer, 2, "segment");
      }
      exchange();
      assertThat(detector.isBlocked(request("segment"))).isFalse();
      assertThat(peer.isBlocked(request("segment"))).isFalse();
    }

    @Test
    void addsToThoseThatOthersObserved() {
      crash(detector, 1, "segment");
      crash(detector, 2, "segment");
      crash(peer, 3, "segment");
      exchange();
      assertThat(detector.isBlocked(request("segment"))).isTrue();
      assertThat(peer.isBlocked(request("segment"))).isTrue();
    }

    @Test
    void isCountedByNumberIfAnEarlierBuildSentIt() {
      Fingerprint segment = Fingerprint.ofSegment("segment");
      CrashRecord named = CrashRecords.of(new CrashCount(segment, Set.of(), 0, false));
      CrashRecord unnamed = named.toBuilder().setCrashes(3).build();
      registry.merge("old", CrashRecords.toCount("old", unnamed));
      assertThat(detector.isBlocked(request("segment"))).isTrue();
    }
  }

  @Nested
  class LostConnection {
    @Test
    void hasItsEndpointProbedOnceASecond() {
      for (int attempt = 0; attempt < 5; attempt++) {
        detector.connectionLost(request("segment"), endpoint(1), nowNanos);
      }
      assertThat(probed).containsExactly(endpoint(1));
      detector.connectionLost(request("segment"), endpoint(1), nowNanos + SECOND_NANOS);
      assertThat(probed).hasSize(2);
    }

    @Test
    void isNoCrashWhileTheEndpointIsNotFoundDown() {
      for (int endpoint = 1; endpoint <= 6; endpoint++) {
        detector.connectionLost(request("segment"), endpoint(endpoint), nowNanos);
      }
      assertThat(detector.isBlocked(request("segment"))).isFalse();
    }

    @Test
    void isACrashIfTheEndpointWasFoundDownJustBefore() {
      for (int endpoint = 1; endpoint <= 3; endpoint++) {
        detector.endpointDown(identity(endpoint), nowNanos);
        detector.connectionLost(request("segment"), endpoint(endpoint), nowNanos + SECOND_NANOS);
      }
      assertThat(detector.isBlocked(request("segment"))).isTrue();
    }

    @Test
    void isACrashIfTheDirectoryListsALaterIncarnation() {
      for (int endpoint = 1; endpoint <= 3; endpoint++) {
        detector.connectionLost(request("segment"), endpoint(endpoint), nowNanos);
      }
      detector.endpointsListed(List.of(identity(1), identity(2), identity(3)), nowNanos);
      assertThat(detector.isBlocked(request("segment"))).isFalse();
      detector.endpointsListed(
          List.of(
              new EndpointIdentity("e1", 2),
              new EndpointIdentity("e2", 2),
              new EndpointIdentity("e3", 2)),
          nowNanos);
      assertThat(detector.isBlocked(request("segment"))).isTrue();
    }
  }
}
