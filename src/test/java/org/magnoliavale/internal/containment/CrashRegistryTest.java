package org.magnoliavale.internal.containment;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class CrashRegistryTest {
  private static final Fingerprint SEGMENT = Fingerprint.ofSegment("common");
  private static final int SENT_COUNTS = 256;

  private long nowMs = 1_000_000;
  private final CrashRegistry registry = new CrashRegistry("self", this::now);
  private final CrashRegistry peer = new CrashRegistry("peer", this::now);

  private Instant now() {
    return Instant.ofEpochMilli(nowMs);
  }

  private static void send(CrashRegistry from, String sender, CrashRegistry to) {
    from.localCounts().forEach(count -> to.merge(sender, count));
  }

  @Test
  void liftIsSentOnlyByTheInstanceThatLifted() {
    registry.recordCrash(SEGMENT, "e@1");
    send(registry, "self", peer);
    peer.lift(SEGMENT);
    send(peer, "peer", registry);
    assertThat(registry.crashes(SEGMENT)).isZero();
    assertThat(registry.localCounts()).isEmpty();
    assertThat(peer.localCounts()).hasSize(1);
  }

  @Test
  void liftIsSentForAShortTime() {
    registry.recordCrash(SEGMENT, "e@1");
    registry.lift(SEGMENT);
    nowMs += CrashRegistry.LIFT_ANNOUNCEMENT_MS - 1;
    assertThat(registry.localCounts()).hasSize(1);
    nowMs++;
    assertThat(registry.localCounts()).isEmpty();
  }

  @Test
  void crashAfterALiftCountsAgain() {
    registry.recordCrash(SEGMENT, "e@1");
    registry.lift(SEGMENT);
    nowMs++;
    registry.recordCrash(SEGMENT, "e@2");
    assertThat(registry.crashes(SEGMENT)).isOne();
    send(registry, "self", peer);
    assertThat(peer.crashes(SEGMENT)).isOne();
  }

  @Test
  void countExpiresWithoutAFurtherCrash() {
    registry.recordCrash(SEGMENT, "e@1");
    nowMs += CrashRegistry.EXPIRY_MS;
    assertThat(registry.crashes(SEGMENT)).isOne();
    nowMs++;
    assertThat(registry.crashes(SEGMENT)).isZero();
    registry.recordCrash(SEGMENT, "e@2");
    assertThat(registry.crashes(SEGMENT)).isOne();
  }

  @Test
  void ofTooManyCountsTheHighestAreSent() {
    for (int i = 0; i < 2 * SENT_COUNTS; i++) {
      registry.recordCrash(Fingerprint.ofSegment("other-" + i), "e@1");
    }
    registry.recordCrash(SEGMENT, "e@1");
    registry.recordCrash(SEGMENT, "e@2");
    assertThat(registry.localCounts()).hasSize(SENT_COUNTS);
    assertThat(registry.localCounts().getFirst().fingerprint()).isEqualTo(SEGMENT);
  }
}
