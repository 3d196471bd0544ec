package org.magnoliavale.internal.platform;

import java.util.List;

/** The platform's transactional table. Every call blocks for a bounded time. */
public interface Table {
  /** Applies a transaction whole or not at all. */
  TableAnswer commit(Transaction transaction);

  /** Reads rows; absent ones are left out of the answer. */
  TableAnswer read(List<String> keys);

  /** Reads all rows whose key starts with {@code prefix}. */
  TableAnswer scan(String prefix);
}
