package org.magnoliavale.internal.link;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.containment.CrashCount;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.link.protocol.CrashRecord;

/** Converts crash counts to and from the messages of the links. */
public final class CrashRecords {
  /** Most crashes that a message may state without their names; far fewer block a request. */
  private static final int MAXIMUM_UNNAMED_CRASHES = 100;

  private static final long MAXIMUM_AGE_MS = TimeUnit.DAYS.toMillis(1);

  private CrashRecords() {}

  /** Returns the message for a count. */
  public static CrashRecord of(CrashCount count) {
    byte[] fingerprint = HexFormat.of().parseHex(count.fingerprint().value());
    return CrashRecord.newBuilder()
        .setFingerprint(ByteString.copyFrom(fingerprint))
        .setCrashes(count.crashes().size())
        .addAllIncarnations(count.crashes())
        .setAgeMs(count.ageMs())
        .setLifted(count.lifted())
        .build();
  }

  /**
   * Returns the count in a message that {@code instance} has sent. An instance of an earlier build
   * sends a number only; each of these crashes counts as one that no other instance has observed.
   */
  public static CrashCount toCount(String instance, CrashRecord record) {
    Set<String> crashes = new HashSet<>(record.getIncarnationsList());
    int count = Math.min(record.getCrashes(), MAXIMUM_UNNAMED_CRASHES);
    for (int unnamed = crashes.size(); unnamed < count; unnamed++) {
      crashes.add(instance + "#" + unnamed);
    }
    String fingerprint = HexFormat.of().formatHex(record.getFingerprint().toByteArray());
    return new CrashCount(
        new Fingerprint(fingerprint),
        crashes,
        Math.clamp(record.getAgeMs(), 0, MAXIMUM_AGE_MS),
        record.getLifted());
  }
}
