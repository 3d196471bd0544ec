package org.magnoliavale.internal.link;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.link.protocol.CrashRecord;

/** Guards against numbers of a peer that take an instance's memory or never expire. */
class CrashRecordsTest {
  @ParameterizedTest
  @CsvSource({"0, 0", "3, 3", "1000000, 100", "-1, 0"})
  void crashesWithoutNamesAreBounded(int stated, int expected) {
    CrashRecord message = CrashRecord.newBuilder().setCrashes(stated).build();
    assertThat(CrashRecords.toCount("peer", message).crashes()).hasSize(expected);
  }

  @ParameterizedTest
  @ValueSource(longs = {-1, Long.MIN_VALUE, Long.MAX_VALUE})
  void ageIsBounded(long ageMs) {
    CrashRecord message = CrashRecord.newBuilder().setAgeMs(ageMs).build();
    assertThat(CrashRecords.toCount("peer", message).ageMs()).isBetween(0L, 86_400_000L);
  }
}
