package org.magnoliavale.internal.platform;

import java.util.List;

/** The platform's transactional table. Each call blocks for a bounded time. */
public interface Table {
  /** Applies a transaction atomically. */
  TableResult commit(Transaction transaction);

  /** Reads rows; the result omits rows that do not exist. */
  TableResult read(List<String> keys);

  /** Reads all rows whose key starts with {@code prefix}. */
  TableResult scan(String prefix);

  /**
   * Returns the newest known generation of the table's contents. It grows each time the platform
   * restores the table from a copy: writes since that copy are lost, although they were confirmed,
   * and versions are given out again. Does not block.
   */
  default long generation() {
    return 0;
  }
}
