package org.magnoliavale.internal.platform;

import java.util.List;

/** A table call as a value, for decision code that does no I/O itself. */
public sealed interface TableCall {
  /** Reads rows. */
  record Read(List<String> keys) implements TableCall {}

  /** Reads all rows with a prefix. */
  record Scan(String prefix) implements TableCall {}

  /** Applies a transaction. */
  record Commit(Transaction transaction) implements TableCall {}

  /** Executes the call on {@code table}, blocking until it returns. */
  default TableResult execute(Table table) {
    return switch (this) {
      case Read(List<String> keys) -> table.read(keys);
      case Scan(String prefix) -> table.scan(prefix);
      case Commit(Transaction transaction) -> table.commit(transaction);
    };
  }
}
