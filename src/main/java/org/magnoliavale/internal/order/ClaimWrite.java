package org.magnoliavale.internal.order;

import org.magnoliavale.internal.platform.Row;

/** What became of a conditional write of one claim row. */
public sealed interface ClaimWrite {
  /** The row has the new text, in this version. */
  record Written(long version) implements ClaimWrite {}

  /** The row was different; it is as given. */
  record Differs(Row row) implements ClaimWrite {}

  /** Nothing was written, for certain. */
  record NotWritten(String reason) implements ClaimWrite {}

  /** Whether the row was or will be written is not known. */
  record Unresolved(String reason) implements ClaimWrite {}
}
