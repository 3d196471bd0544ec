package org.magnoliavale.internal.lease;

import java.util.List;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/**
 * The two rows of one lease, and the calls that read and write them.
 *
 * @param leaseKey key of the row that a holder renews
 * @param epochKey key of the row that changes with each holder
 */
record LeaseRows(String leaseKey, String epochKey) {
  static LeaseRows of(String name) {
    return new LeaseRows("lease/" + name, "epoch/" + name);
  }

  TableCall read() {
    return new TableCall.Read(List.of(leaseKey, epochKey));
  }

  LeaseSnapshot parse(TableResult.Success read) {
    return LeaseSnapshot.of(read, leaseKey, epochKey);
  }

  /** Returns a write of the lease row on condition of its version. */
  TableCall renew(long leaseVersion, LeaseRow row) {
    return new TableCall.Commit(
        Transaction.builder()
            .require(leaseKey, leaseVersion)
            .write(leaseKey, Json.text(row))
            .build());
  }

  /** Returns a write of both rows on condition that they are as they were read. */
  TableCall acquire(LeaseSnapshot read, LeaseRow row) {
    return new TableCall.Commit(
        Transaction.builder()
            .require(leaseKey, read.leaseVersion())
            .require(epochKey, read.epochVersion())
            .write(epochKey, Json.text(new EpochRow(row.epoch(), row.holder())))
            .write(leaseKey, Json.text(row))
            .build());
  }
}
