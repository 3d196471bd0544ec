package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.Optional;

/** The result of a table call. */
public sealed interface TableAnswer {
  /** The call succeeded. Holds the rows read, or the rows written with their new versions. */
  record Done(List<Row> rows) implements TableAnswer {
    /** Copies the list. */
    public Done {
      rows = List.copyOf(rows);
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
  record Refused(List<Row> differing) implements TableAnswer {
    /** Copies the list. */
    public Refused {
      differing = List.copyOf(differing);
    }
  }

  /** No valid response was received; the call may or may not have taken effect. */
  record Unknown(String reason) implements TableAnswer {}

  /** The call had no effect, for example because the connection failed. */
  record Unavailable(String reason) implements TableAnswer {}
}
