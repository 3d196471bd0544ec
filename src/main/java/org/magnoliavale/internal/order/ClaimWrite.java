package org.magnoliavale.internal.order;

import org.magnoliavale.internal.platform.Row;

/** Result of a conditional write of one claim row. */
public sealed interface ClaimWrite {
  /** The write took effect and created this row version. */
  record Written(long version) implements ClaimWrite {}

  /** The condition did not hold; {@code row} is the current row. */
  record Differs(Row row) implements ClaimWrite {}

  /** The write certainly did not take effect. */
  record NotWritten(String reason) implements ClaimWrite {}

  /** Whether the write took or will take effect is unknown. */
  record Unresolved(String reason) implements ClaimWrite {}
}
