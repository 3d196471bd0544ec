package org.magnoliavale.internal.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import org.magnoliavale.internal.platform.Condition;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;
import org.magnoliavale.internal.platform.Write;

/**
 * A transactional in-memory table. It never fails by itself; faults are injected by its callers.
 * Thread-safe.
 */
public final class InMemoryTable implements Table {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long lastCommit;

  @Override
  public synchronized TableResult commit(Transaction transaction) {
    List<Row> differing = new ArrayList<>();
    for (Condition condition : transaction.conditions()) {
      Row row = rows.getOrDefault(condition.key(), Row.absent(condition.key()));
      if (row.version() != condition.version()) {
        differing.add(row);
      }
    }
    if (!differing.isEmpty()) {
      return new TableResult.ConditionFailed(differing);
    }
    lastCommit++;
    return TableResult.Success.of(transaction.writes().stream().map(this::apply).toList());
  }

  private Row apply(Write write) {
    if (write.value() == null) {
      rows.remove(write.key());
      return Row.absent(write.key());
    }
    Row row = new Row(write.key(), lastCommit, write.value());
    rows.put(write.key(), row);
    return row;
  }

  @Override
  public synchronized TableResult read(List<String> keys) {
    return TableResult.Success.of(keys.stream().map(rows::get).filter(Objects::nonNull).toList());
  }

  @Override
  public synchronized TableResult scan(String prefix) {
    List<Row> found =
        rows.tailMap(prefix).values().stream()
            .takeWhile(row -> row.key().startsWith(prefix))
            .toList();
    return TableResult.Success.of(found);
  }
}
