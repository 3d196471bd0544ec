package org.magnoliavale.internal.origin;

import java.util.List;
import org.magnoliavale.internal.gateway.FakeTable;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/** A table that counts calls and can be unavailable, or lose its answers after the effect. */
final class SimulatedTable implements Table {
  private final FakeTable table = new FakeTable();
  private boolean available = true;
  private boolean answering = true;
  private int writes;
  private int reads;

  FakeTable contents() {
    return table;
  }

  void setAvailable(boolean value) {
    available = value;
  }

  void setAnswering(boolean value) {
    answering = value;
  }

  int writes() {
    return writes;
  }

  int reads() {
    return reads;
  }

  @Override
  public TableResult commit(Transaction transaction) {
    writes++;
    if (!available) {
      return new TableResult.Unavailable("down");
    }
    TableResult result = table.commit(transaction);
    return answering ? result : new TableResult.OutcomeUnknown("no answer");
  }

  @Override
  public TableResult read(List<String> keys) {
    reads++;
    return available && answering ? table.read(keys) : new TableResult.Unavailable("down");
  }

  @Override
  public TableResult scan(String prefix) {
    reads++;
    return available && answering ? table.scan(prefix) : new TableResult.Unavailable("down");
  }

  @Override
  public long generation() {
    return table.generation();
  }
}
