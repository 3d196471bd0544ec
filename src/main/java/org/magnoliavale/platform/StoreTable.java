package org.magnoliavale.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;
import org.magnoliavale.internal.platform.Write;

/** A table of the fleet's own in the platform's store. */
final class StoreTable implements Table {
  private final StoreClient store;
  private final String name;

  StoreTable(StoreClient store, String name) {
    this.store = store;
    this.name = name;
  }

  @Override
  public TableResult commit(Transaction transaction) {
    return switch (store.apply(name, transaction)) {
      case StoreClient.Result.Success(var ignored, long newestVersion, long generation) ->
          toSuccess(transaction, newestVersion, generation);
      case StoreClient.Result.ConditionFailed(var rows) ->
          new TableResult.ConditionFailed(toRows(rows));
      case StoreClient.Result.HistoryUnavailable() ->
          new TableResult.Unavailable("change history no longer available");
      case StoreClient.Result.Unavailable(String reason) -> new TableResult.Unavailable(reason);
      case StoreClient.Result.OutcomeUnknown(String reason) ->
          new TableResult.OutcomeUnknown(reason);
    };
  }

  /** Returns the written rows; every row of a transaction has the transaction's version. */
  private static TableResult toSuccess(Transaction transaction, long version, long generation) {
    List<Row> rows = new ArrayList<>();
    for (Write write : transaction.writes()) {
      rows.add(
          write.value() == null
              ? Row.absent(write.key())
              : new Row(write.key(), version, write.value()));
    }
    return new TableResult.Success(rows, generation);
  }

  @Override
  public TableResult read(List<String> keys) {
    String last = Collections.max(keys);
    return readRange(
        Collections.min(keys), StoreClient.keyAfter(last), row -> keys.contains(row.key()));
  }

  @Override
  public TableResult scan(String prefix) {
    return readRange(prefix, "", row -> row.key().startsWith(prefix));
  }

  private TableResult readRange(String from, String to, Predicate<StoreClient.StoredRow> filter) {
    return switch (store.readRange(name, from, to)) {
      case StoreClient.Result.Success(var rows, long ignored, long generation) ->
          new TableResult.Success(toRows(rows.stream().filter(filter).toList()), generation);
      case StoreClient.Result.Unavailable(String reason) -> new TableResult.Unavailable(reason);
      case StoreClient.Result.OutcomeUnknown(String reason) -> new TableResult.Unavailable(reason);
      case StoreClient.Result.ConditionFailed(var ignored) ->
          new TableResult.Unavailable("unexpected response: condition failed");
      case StoreClient.Result.HistoryUnavailable() ->
          new TableResult.Unavailable("change history no longer available");
    };
  }

  @Override
  public long generation() {
    return store.generation();
  }

  private static List<Row> toRows(List<StoreClient.StoredRow> stored) {
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
