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
}
