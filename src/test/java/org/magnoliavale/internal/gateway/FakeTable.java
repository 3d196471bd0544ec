package org.magnoliavale.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.magnoliavale.internal.platform.Condition;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.Transaction;
import org.magnoliavale.internal.platform.Write;

/** In-memory implementation of a table. */
final class FakeTable implements Table {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;

  @Override
  public synchronized TableAnswer commit(Transaction transaction) {
    for (Condition condition : transaction.conditions()) {
      Row row = rows.getOrDefault(condition.key(), Row.absent(condition.key()));
      if (row.version() != condition.version()) {
        return new TableAnswer.Refused(List.of(row));
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
    return new TableAnswer.Done(written);
  }

  @Override
  public synchronized TableAnswer read(List<String> keys) {
    return new TableAnswer.Done(keys.stream().filter(rows::containsKey).map(rows::get).toList());
  }

  @Override
  public synchronized TableAnswer scan(String prefix) {
    return new TableAnswer.Done(
        rows.values().stream().filter(row -> row.key().startsWith(prefix)).toList());
  }
}
