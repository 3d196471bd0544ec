package org.magnoliavale.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.Transaction;
import org.magnoliavale.internal.platform.Write;

/** The fleet's own table in the platform's store. */
final class StoreTable implements Table {
  private static final String NAME = "magnoliavale";

  private final StoreConnection store;

  StoreTable(StoreConnection store) {
    this.store = store;
  }

  @Override
  public TableAnswer commit(Transaction transaction) {
    return switch (store.apply(NAME, transaction)) {
      case StoreConnection.Answer.Done(var ignored, long newest) -> written(transaction, newest);
      case StoreConnection.Answer.ConditionFailed(var rows) -> new TableAnswer.Refused(rows(rows));
      case StoreConnection.Answer.HistoryGone() ->
          new TableAnswer.Unavailable("change history no longer available");
      case StoreConnection.Answer.Refused(String reason) -> new TableAnswer.Unavailable(reason);
      case StoreConnection.Answer.Lost(String reason) -> new TableAnswer.Unknown(reason);
    };
  }

  /** Returns the written rows; every row of a transaction has the transaction's version. */
  private static TableAnswer written(Transaction transaction, long version) {
    List<Row> rows = new ArrayList<>();
    for (Write write : transaction.writes()) {
      rows.add(
          write.value() == null
              ? Row.absent(write.key())
              : new Row(write.key(), version, write.value()));
    }
    return new TableAnswer.Done(rows);
  }

  @Override
  public TableAnswer read(List<String> keys) {
    return readFrom(Collections.min(keys), row -> keys.contains(row.key()));
  }

  @Override
  public TableAnswer scan(String prefix) {
    return readFrom(prefix, row -> row.key().startsWith(prefix));
  }

  private TableAnswer readFrom(
      String from, java.util.function.Predicate<StoreConnection.StoredRow> wanted) {
    return switch (store.readAll(NAME, from)) {
      case StoreConnection.Answer.Done(var rows, long ignored) ->
          new TableAnswer.Done(rows(rows.stream().filter(wanted).toList()));
      case StoreConnection.Answer.Refused(String reason) -> new TableAnswer.Unavailable(reason);
      case StoreConnection.Answer.Lost(String reason) -> new TableAnswer.Unavailable(reason);
      case StoreConnection.Answer.ConditionFailed(var ignored) ->
          new TableAnswer.Unavailable("unexpected response: condition failed");
      case StoreConnection.Answer.HistoryGone() ->
          new TableAnswer.Unavailable("change history no longer available");
    };
  }

  private static List<Row> rows(List<StoreConnection.StoredRow> stored) {
    return stored.stream()
        .map(
            row ->
                row.value() == null
                    ? Row.absent(row.key())
                    : new Row(
                        row.key(), row.version(), new String(row.value(), StandardCharsets.UTF_8)))
        .toList();
  }
}
