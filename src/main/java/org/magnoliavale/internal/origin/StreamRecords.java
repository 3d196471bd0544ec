package org.magnoliavale.internal.origin;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.hash.Sha256;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Rows of the platform's table that say at which version streams began, one for each stream that
 * needs one, and one for the baseline of a service. Thread-safe.
 *
 * <p>Streams that begin while a transaction is under way share the next one. A row is deleted some
 * time after its stream must have ended, together with the next that is written.
 */
final class StreamRecords {
  private static final Logger LOG = Logs.of("call");
  private static final String STREAM_PREFIX = "stream/";
  private static final String BASELINE_PREFIX = "baseline/";

  /** Characters of a hash in a key; attempt ids come from callers and may be of any size. */
  private static final int HASH_CHARACTERS = 40;

  /** Most rows that one transaction writes, and most that it deletes. */
  private static final int BATCH_SIZE = 45;

  /** Transactions that are tried for a record before it counts as lost. */
  private static final int ATTEMPTS = 2;

  /** Time after which rows are deleted although none is written. */
  private static final long DELETION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Content of a row. */
  private record Content(String service, String version, boolean closed) {}

  private record Pending(String key, String value, long expiryNanos, Consumer<Boolean> onWritten) {}

  private record Expiry(String key, long nanos) {}

  /** What a read of a row has shown. */
  sealed interface Found {
    /** The row as it was read; empty if there is none. */
    record Read(Optional<VersionRow> content) implements Found {}

    /** The row could not be read. */
    record Unavailable(String reason) implements Found {}
  }

  private final Table table;
  private final Executor executor;
  private final LongSupplier nanoClock;
  private final Deque<Pending> pending = new ArrayDeque<>();
  private final Deque<Expiry> expiries = new ArrayDeque<>();
  private boolean writing;
  private long deletedNanos;

  /** Returns records in a table; {@code executor} runs its blocking calls. */
  StreamRecords(Table table, Executor executor, LongSupplier nanoClock) {
    this.table = table;
    this.executor = executor;
    this.nanoClock = nanoClock;
    this.deletedNanos = nanoClock.getAsLong();
  }

  /** Returns the generation of the table's contents. */
  long generation() {
    return table.generation();
  }

  /**
   * Records at which version a stream begins.
   *
   * @param expiryNanos when the stream has certainly ended
   * @param onWritten is told whether the record is kept
   */
  void write(
      ServiceId service,
      String attemptId,
      SoftwareVersion version,
      long expiryNanos,
      Consumer<Boolean> onWritten) {
    String value = Json.text(new Content(service.value(), version.text(), false));
    synchronized (this) {
      pending.add(new Pending(streamKey(attemptId), value, expiryNanos, onWritten));
    }
    startWriting();
  }

  /** Deletes rows of streams that have ended, if none has been written for a while. */
  void deleteExpired() {
    synchronized (this) {
      long now = nanoClock.getAsLong();
      boolean due = !expiries.isEmpty() && now - expiries.getFirst().nanos() >= 0;
      if (!due || now - deletedNanos < DELETION_INTERVAL_NANOS) {
        return;
      }
    }
    startWriting();
  }

  private void startWriting() {
    synchronized (this) {
      if (writing) {
        return;
      }
      writing = true;
    }
    executor.execute(this::writeAll);
  }

  private void writeAll() {
    while (true) {
      List<Pending> batch;
      List<String> expired;
      synchronized (this) {
        batch = takePending();
        expired = takeExpired();
        if (batch.isEmpty() && expired.isEmpty()) {
          writing = false;
          return;
        }
      }
      boolean written = commit(batch, expired);
      synchronized (this) {
        // Rows that may have been written have to be deleted as well.
        batch.forEach(record -> expiries.add(new Expiry(record.key(), record.expiryNanos())));
      }
      batch.forEach(record -> record.onWritten().accept(written));
    }
  }

  private List<Pending> takePending() {
    List<Pending> batch = new ArrayList<>();
    while (!pending.isEmpty() && batch.size() < BATCH_SIZE) {
      batch.add(pending.removeFirst());
    }
    return batch;
  }

  private List<String> takeExpired() {
    long now = nanoClock.getAsLong();
    List<String> keys = new ArrayList<>();
    while (!expiries.isEmpty()
        && keys.size() < BATCH_SIZE
        && now - expiries.getFirst().nanos() >= 0) {
      keys.add(expiries.removeFirst().key());
    }
    deletedNanos = now;
    return keys;
  }

  private boolean commit(List<Pending> batch, List<String> expired) {
    Transaction.Builder builder = Transaction.builder();
    batch.forEach(record -> builder.write(record.key(), record.value()));
    expired.forEach(builder::delete);
    Transaction transaction = builder.build();
    // The same rows may be written twice without harm.
    for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
      if (commitOnce(transaction, attempt)) {
        return true;
      }
    }
    return false;
  }

  private boolean commitOnce(Transaction transaction, int attempt) {
    try {
      TableResult result = table.commit(transaction);
      if (result instanceof TableResult.Success) {
        return true;
      }
      LOG.infof(
          "Stream records not written. rows=%d attempt=%d result=%s",
          transaction.writes().size(), attempt, result);
    } catch (RuntimeException e) {
      LOG.errorf(e, "Stream records could not be written.");
    }
    return false;
  }

  /** Reads at which version a stream began; blocks. */
  Found readStream(String attemptId) {
    return read(streamKey(attemptId));
  }

  /** Reads the baseline of a service; blocks. */
  Found readBaseline(ServiceId service) {
    return read(BASELINE_PREFIX + service.value());
  }

  private Found read(String key) {
    return switch (table.read(List.of(key))) {
      case TableResult.Success success -> decode(success.row(key));
      case TableResult.Unavailable(String reason) -> new Found.Unavailable(reason);
      case TableResult.OutcomeUnknown(String reason) -> new Found.Unavailable(reason);
      case TableResult.ConditionFailed ignored -> new Found.Unavailable("unexpected response");
    };
  }

  private static Found decode(Optional<Row> row) {
    if (row.isEmpty()) {
      return new Found.Read(Optional.empty());
    }
    try {
      Content content = Json.read(row.get().value(), Content.class);
      SoftwareVersion version = new SoftwareVersion(Objects.requireNonNull(content.version()));
      return new Found.Read(
          Optional.of(new VersionRow(version, content.closed(), row.get().version())));
    } catch (IOException | NullPointerException e) {
      return new Found.Unavailable("malformed row " + row.get().key());
    }
  }

  /**
   * Names the baseline of a service, unless the row has changed; blocks.
   *
   * @param closed whether the version has left
   * @param replaced the row that it takes the place of, empty if there must be none
   * @return the row that is there then
   */
  Found writeBaseline(
      ServiceId service, SoftwareVersion version, boolean closed, Optional<VersionRow> replaced) {
    String key = BASELINE_PREFIX + service.value();
    TableResult result =
        table.commit(
            Transaction.builder()
                .require(key, replaced.map(VersionRow::rowVersion).orElse(Row.ABSENT))
                .write(key, Json.text(new Content(service.value(), version.text(), closed)))
                .build());
    return switch (result) {
      case TableResult.Success success -> decode(success.row(key));
      case TableResult.ConditionFailed ignored -> readBaseline(service);
      case TableResult.Unavailable(String reason) -> new Found.Unavailable(reason);
      case TableResult.OutcomeUnknown(String reason) -> new Found.Unavailable(reason);
    };
  }

  /** Deletes the records of a service's streams that are older than a row; blocks. */
  void deleteBefore(ServiceId service, long rowVersion) {
    if (!(table.scan(STREAM_PREFIX) instanceof TableResult.Success success)) {
      return;
    }
    List<String> keys =
        success.rows().stream()
            .filter(row -> row.version() < rowVersion && isOf(service, row))
            .map(Row::key)
            .toList();
    for (int from = 0; from < keys.size(); from += BATCH_SIZE) {
      Transaction.Builder transaction = Transaction.builder();
      keys.subList(from, Math.min(keys.size(), from + BATCH_SIZE)).forEach(transaction::delete);
      table.commit(transaction.build());
    }
  }

  private static boolean isOf(ServiceId service, Row row) {
    try {
      return service.value().equals(Json.read(row.value(), Content.class).service());
    } catch (IOException e) {
      return false;
    }
  }

  private static String streamKey(String attemptId) {
    return STREAM_PREFIX + Sha256.of(attemptId).substring(0, HASH_CHARACTERS);
  }
}
