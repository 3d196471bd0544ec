package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.Optional;

/** The result of a table call. */
public sealed interface TableResult {
  /**
   * The call succeeded.
   *
   * @param rows the rows read, or the rows written with their new versions
   * @param generation the generation of the table's contents, see {@link Table#generation}
   */
  record Success(List<Row> rows, long generation) implements TableResult {
    /** Copies the list. */
    public Success {
      rows = List.copyOf(rows);
    }

    /** Returns the result of a table that never comes back from a copy. */
    public static Success of(List<Row> rows) {
      return new Success(rows, 0);
    }

    /** Returns the row with the given key, if it exists. */
    public Optional<Row> row(String key) {
      return rows.stream()
          .filter(row -> row.key().equals(key) && row.version() != Row.ABSENT)
          .findFirst();
    }

    /** Returns the version of a row; {@link Row#ABSENT} if there is none. */
    public long version(String key) {
      return row(key).map(Row::version).orElse(Row.ABSENT);
    }
  }

  /** A condition did not hold; nothing was written. Holds the current rows that differ. */
  record ConditionFailed(List<Row> conflictingRows) implements TableResult {
    /** Copies the list. */
    public ConditionFailed {
      conflictingRows = List.copyOf(conflictingRows);
    }
  }

  /** No valid response was received; the call may or may not have taken effect. */
  record OutcomeUnknown(String reason) implements TableResult {}

  /** The call had no effect, for example because the connection failed. */
  record Unavailable(String reason) implements TableResult {}
}
