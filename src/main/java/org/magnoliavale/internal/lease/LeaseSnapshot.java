package org.magnoliavale.internal.lease;

import java.io.IOException;
import java.util.Optional;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.TableResult;

/**
 * The two rows of a lease as they were read.
 *
 * @param lease the row that a holder renews; empty if nobody has held the lease
 * @param leaseVersion its version
 * @param lastEpoch the epoch in the other row; 0 if there was none
 * @param epochVersion version of the other row
 * @param generation generation of the table's contents
 */
record LeaseSnapshot(
    Optional<LeaseRow> lease,
    long leaseVersion,
    long lastEpoch,
    long epochVersion,
    long generation) {
  static LeaseSnapshot of(TableResult.Success read, String leaseKey, String epochKey) {
    return new LeaseSnapshot(
        read.row(leaseKey).map(row -> parse(row, LeaseRow.class)),
        read.version(leaseKey),
        read.row(epochKey).map(row -> parse(row, EpochRow.class).epoch()).orElse(0L),
        read.version(epochKey),
        read.generation());
  }

  /** Returns whether the lease row was written with a token. */
  boolean hasToken(String token) {
    return lease.isPresent() && token.equals(lease.get().token());
  }

  private static <T> T parse(Row row, Class<T> type) {
    try {
      return Json.read(row.value(), type);
    } catch (IOException e) {
      throw new IllegalStateException("lease row " + row.key() + " is malformed", e);
    }
  }
}
