package org.magnoliavale.internal.platform;

import java.util.List;

/** The platform's transactional table. Each call blocks for a bounded time. */
public interface Table {
  /** Applies a transaction atomically. */
  TableAnswer commit(Transaction transaction);

  /** Reads rows; the result omits rows that do not exist. */
  TableAnswer read(List<String> keys);

  /** Reads all rows whose key starts with {@code prefix}. */
  TableAnswer scan(String prefix);
}
