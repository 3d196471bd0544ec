package org.magnoliavale.internal.idempotency;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/** A table that delays and counts commits. */
final class SlowTable implements Table {
  private static final long COMMIT_MS = 20;

  private final Table table;
  private final AtomicInteger commits = new AtomicInteger();

  SlowTable(Table table) {
    this.table = table;
  }

  int commits() {
    return commits.get();
  }

  @Override
  public TableResult commit(Transaction transaction) {
    commits.incrementAndGet();
    try {
      Thread.sleep(COMMIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return table.commit(transaction);
  }

  @Override
  public TableResult read(List<String> keys) {
    return table.read(keys);
  }

  @Override
  public TableResult scan(String prefix) {
    return table.scan(prefix);
  }
}
