package org.magnoliavale.internal.idempotency;

import org.magnoliavale.internal.platform.Row;

/** Result of a conditional write of one claim row. */
public sealed interface ClaimWriteResult {
  /** The write took effect and created this row version. */
  record Written(long version) implements ClaimWriteResult {}

  /** The condition did not hold; {@code row} is the current row. */
  record Differs(Row row) implements ClaimWriteResult {}

  /** The write certainly did not take effect. */
  record NotWritten(String reason) implements ClaimWriteResult {}

  /** Whether the write took or will take effect is unknown. */
  record Unresolved(String reason) implements ClaimWriteResult {}
}
