package org.magnoliavale.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.magnoliavale.internal.platform.Condition;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;
import org.magnoliavale.internal.platform.Write;

/** In-memory implementation of a table. */
public final class FakeTable implements Table {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;
  private long generation = 1;

  @Override
  public synchronized TableResult commit(Transaction transaction) {
    for (Condition condition : transaction.conditions()) {
      Row row = rows.getOrDefault(condition.key(), Row.absent(condition.key()));
      if (row.version() != condition.version()) {
        return new TableResult.ConditionFailed(List.of(row));
      }
    }
    version++;
    List<Row> written = new ArrayList<>();
    for (Write write : transaction.writes()) {
      if (write.value() == null) {
        rows.remove(write.key());
      } else {
        Row row = new Row(write.key(), version, write.value());
        rows.put(write.key(), row);
        written.add(row);
      }
    }
    return new TableResult.Success(written, generation);
  }

  @Override
  public synchronized TableResult read(List<String> keys) {
    return new TableResult.Success(
        keys.stream().filter(rows::containsKey).map(rows::get).toList(), generation);
  }

  @Override
  public synchronized TableResult scan(String prefix) {
    return new TableResult.Success(
        rows.values().stream().filter(row -> row.key().startsWith(prefix)).toList(), generation);
  }

  @Override
  public synchronized long generation() {
    return generation;
  }

  /** Returns a copy of the contents. */
  public synchronized FakeTable copy() {
    FakeTable copy = new FakeTable();
    copy.rows.putAll(rows);
    copy.version = version;
    return copy;
  }

  /** Restores the contents from a copy, so that versions are given out again. */
  public synchronized void restore(FakeTable copy) {
    rows.clear();
    rows.putAll(copy.rows);
    version = copy.version;
    if (generation > 0) {
      generation++;
    }
  }

  /** From now on no generation is named. */
  synchronized void nameNoGeneration() {
    generation = 0;
  }
}
