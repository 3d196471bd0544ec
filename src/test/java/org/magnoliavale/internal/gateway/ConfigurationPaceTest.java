package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationPaceTest {
  /**
   * Time in which a version must be in force on every instance that the store or a peer reaches.
   */
  private static final long BOUND_MS = 3_000;

  private static final long TICK_MS = 50;

  private long nowMs = 100_000;
  private final ConfigurationPace pace = new ConfigurationPace(false);

  private long now() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private void hear(long version) {
    pace.heard(version, now());
  }

  private boolean read(long ownVersion) {
    return read(ownVersion, false);
  }

  private boolean read(long ownVersion, boolean waitVoid) {
    boolean due = pace.isReadDue(ownVersion, waitVoid, now());
    if (due) {
      pace.readBegins(ownVersion, now());
    }
    return due;
  }

  /** Returns the number of reads while a peer states a version each half second. */
  private int reads(long ownVersion, long statedVersion, long milliseconds) {
    int reads = 0;
    for (long passed = 0; passed < milliseconds; passed += TICK_MS) {
      if (passed % 500 == 0) {
        hear(statedVersion);
      }
      reads += read(ownVersion) ? 1 : 0;
      nowMs += TICK_MS;
    }
    return reads;
  }

  @Nested
  class Waiting {
    @Test
    void isLongWhileARelayedFleetIsHeard() {
      hear(1);
      assertThat(pace.nextWait(true, now())).contains(ConfigurationPace.LONG_WAIT);
    }

    @Test
    void isShortWithoutRelays() {
      hear(1);
      assertThat(pace.nextWait(false, now())).isEmpty();
    }

    @Test
    void isShortWhilePeersAreSilent() {
      assertThat(pace.nextWait(true, now())).isEmpty();
      hear(1);
      nowMs += BOUND_MS;
      assertThat(pace.nextWait(true, now())).isEmpty();
    }

    @Test
    void isShortWhileNoPeerHasAConfiguration() {
      hear(0);
      hear(-4);
      assertThat(pace.nextWait(true, now())).isEmpty();
    }

    @Test
    void isShortWhereKeysNeedARecentRead() {
      ConfigurationPace strict = new ConfigurationPace(true);
      strict.heard(1, now());
      assertThat(strict.nextWait(true, now())).isEmpty();
    }
  }

  @Nested
  class Reading {
    @Test
    void beginsAtOnceWhenAPeerIsAhead() {
      hear(1);
      assertThat(read(1)).isFalse();
      hear(2);
      assertThat(read(1)).isTrue();
    }

    @Test
    void isRepeatedSoonAfterOneThatFailed() {
      hear(2);
      assertThat(read(1)).isTrue();
      nowMs += 299;
      assertThat(read(1)).isFalse();
      nowMs += 1;
      assertThat(read(1)).isTrue();
    }

    @Test
    void leavesTheFirstConfigurationToTheWait() {
      hear(2);
      assertThat(read(0)).isFalse();
    }

    @Test
    void endsWhenThePeerIsNoLongerHeard() {
      hear(2);
      nowMs += 5_001;
      assertThat(read(1)).isFalse();
    }

    /** A peer states a version that the store does not have, each half second for ever. */
    @Test
    void isSlowAfterFruitlessOnes() {
      reads(1, Long.MAX_VALUE, 10_000);
      assertThat(reads(1, Long.MAX_VALUE, 60_000)).isLessThanOrEqualTo(31);
    }

    @Test
    void staysSlowIfThePeerStatesYetHigherVersionsOrGoesBackNowAndThen() {
      for (int i = 0; i < 20; i++) {
        reads(1, 1_000 + i, 500);
        hear(1);
      }
      int reads = 0;
      for (int i = 0; i < 120; i++) {
        reads += reads(1, 2_000 + i, 500);
        hear(1);
      }
      assertThat(reads).isLessThanOrEqualTo(31);
    }

    @Test
    void keepsTheBoundForALaterVersionWhileAPeerStatesAnAbsurdOne() {
      reads(1, Long.MAX_VALUE, 10_000);
      for (int i = 0; i < 5; i++) {
        assertThat(reads(1, Long.MAX_VALUE, BOUND_MS - TICK_MS)).isPositive();
      }
    }

    @Test
    void isQuickAgainAfterAVersionWasApplied() {
      reads(1, 9, 10_000);
      hear(9);
      nowMs += 300;
      assertThat(read(2)).isTrue();
    }
  }

  /** Peers fall silent while the connection of a long wait is silent, too. */
  @Nested
  class Silence {
    @Test
    void leadsToAReadWithinTheBound() {
      hear(1);
      pace.nextWait(true, now());
      nowMs += BOUND_MS - 250;
      assertThat(read(1)).isTrue();
    }

    @Test
    void leadsToFewReads() {
      hear(1);
      pace.nextWait(true, now());
      int reads = 0;
      for (int passed = 0; passed < 8_000; passed += 50) {
        reads += read(1) ? 1 : 0;
        nowMs += 50;
      }
      assertThat(reads).isBetween(1, 4);
    }

    @Test
    void leadsToNoReadDuringAShortWait() {
      hear(1);
      pace.nextWait(false, now());
      nowMs += BOUND_MS;
      assertThat(read(1)).isFalse();
    }
  }

  /** The store comes back from a copy and gives versions out again during a wait. */
  @Nested
  class VoidWait {
    @Test
    void leadsToReadsWithinTheBoundUntilItEnds() {
      hear(1);
      pace.nextWait(true, now());
      for (int i = 0; i < 3; i++) {
        assertThat(read(1, true)).isTrue();
        nowMs += 500;
        assertThat(read(1, true)).isFalse();
        nowMs += BOUND_MS - 1_000;
      }
    }

    @Test
    void leadsToNoReadIfItIsShort() {
      hear(1);
      pace.nextWait(false, now());
      assertThat(read(1, true)).isFalse();
    }
  }
}
