package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.Optional;

/** Everything that the table can answer to a call. */
public sealed interface TableAnswer {
  /** The call took effect. Holds the rows read, or the rows written with their new versions. */
  record Done(List<Row> rows) implements TableAnswer {
    /** Takes a copy. */
    public Done {
      rows = List.copyOf(rows);
    }

    /** Returns a row that exists. */
    public Optional<Row> row(String key) {
      return rows.stream()
          .filter(row -> row.key().equals(key) && row.version() != Row.ABSENT)
          .findFirst();
    }

    /** Returns the version of a row, {@link Row#ABSENT} if there is none. */
    public long version(String key) {
      return row(key).map(Row::version).orElse(Row.ABSENT);
    }
  }

  /** A condition did not hold; nothing was written. Holds the rows that differ as they are. */
  record Refused(List<Row> differing) implements TableAnswer {
    /** Takes a copy. */
    public Refused {
      differing = List.copyOf(differing);
    }
  }

  /** The answer was lost; the call may or may not have taken effect. */
  record Unknown(String reason) implements TableAnswer {}

  /** The call certainly did not take effect, for example because no connection could be made. */
  record Unavailable(String reason) implements TableAnswer {}
}
