package org.magnoliavale.internal.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.magnoliavale.Service;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Writes claim rows, batching the writes of concurrent requests into one transaction.
 *
 * <p>A row whose condition does not hold is removed from the transaction and the rest is retried.
 * After a lost response the same transaction is retried: the row then shows whether the earlier
 * commit took effect, and an earlier commit that arrives late fails its condition.
 *
 * <p>One virtual thread, from {@link #start} until the queue is empty after {@link #stop}, collects
 * batches; each commit runs on a virtual thread of its own. Thread-safe.
 */
public final class ClaimTable implements Service {
  private static final int MAXIMUM_BATCH = 128;
  private static final int MAXIMUM_TRIES = 4;

  /** Maximum concurrent commits; at the limit, further writes wait for the next batch. */
  private static final int COMMITS_AT_ONCE = 4;

  private static final long POLL_MS = 100;

  private record Pending(
      String key, long version, String value, CompletableFuture<ClaimWrite> result) {}

  private final Table table;
  private final BlockingQueue<Pending> queue = new LinkedBlockingQueue<>();
  private final Semaphore slots = new Semaphore(COMMITS_AT_ONCE);
  private volatile boolean stopped;

  private ClaimTable(Table table) {
    this.table = table;
  }

  /** Returns a writer that is not started yet. */
  public static ClaimTable of(Table table) {
    return new ClaimTable(table);
  }

  @Override
  public void start() {
    Thread.ofVirtual().name("claims").start(this::loop);
  }

  @Override
  public void stop() {
    stopped = true;
  }

  /**
   * Writes {@code value} if the row has {@code version}; null deletes the row. Blocks until the
   * outcome is determined or the attempts are exhausted.
   */
  public ClaimWrite write(String key, long version, String value) {
    Pending pending = new Pending(key, version, value, new CompletableFuture<>());
    queue.add(pending);
    return pending.result().join();
  }

  private void loop() {
    try {
      while (!stopped || !queue.isEmpty()) {
        slots.acquire();
        Pending first = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
        if (first == null) {
          slots.release();
        } else {
          List<Pending> batch = batchFrom(first);
          Thread.startVirtualThread(() -> commitInSlot(batch));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Pending> batchFrom(Pending first) {
    List<Pending> batch = new ArrayList<>();
    batch.add(first);
    queue.drainTo(batch, MAXIMUM_BATCH - 1);
    return batch;
  }

  private void commitInSlot(List<Pending> batch) {
    try {
      commit(batch);
    } finally {
      slots.release();
    }
  }

  private void commit(List<Pending> batch) {
    List<Pending> open = distinctKeys(batch);
    boolean mayHaveTakenEffect = false;
    for (int attempt = 0; attempt < MAXIMUM_TRIES && !open.isEmpty(); attempt++) {
      switch (table.commit(transaction(open))) {
        case TableAnswer.Done done -> {
          open.forEach(
              pending -> finish(pending, new ClaimWrite.Written(done.version(pending.key()))));
          return;
        }
        case TableAnswer.Refused(List<Row> differing) -> open = withoutDiffering(open, differing);
        case TableAnswer.Unknown ignored -> mayHaveTakenEffect = true;
        case TableAnswer.Unavailable(String reason) -> {
          if (!mayHaveTakenEffect) {
            open.forEach(pending -> finish(pending, new ClaimWrite.NotWritten(reason)));
            return;
          }
        }
      }
    }
    boolean unresolved = mayHaveTakenEffect;
    open.forEach(
        pending ->
            finish(
                pending,
                unresolved
                    ? new ClaimWrite.Unresolved("the commit response was lost")
                    : new ClaimWrite.NotWritten("the commit was refused repeatedly")));
  }

  /** Defers further writes of the same row to a later transaction. */
  private List<Pending> distinctKeys(List<Pending> batch) {
    List<Pending> distinct = new ArrayList<>();
    for (Pending pending : batch) {
      boolean repeated = distinct.stream().anyMatch(other -> other.key().equals(pending.key()));
      if (repeated) {
        queue.add(pending);
      } else {
        distinct.add(pending);
      }
    }
    return distinct;
  }

  private static Transaction transaction(List<Pending> open) {
    Transaction.Builder transaction = Transaction.builder();
    for (Pending pending : open) {
      transaction.require(pending.key(), pending.version());
      transaction.write(pending.key(), pending.value());
    }
    return transaction.build();
  }

  private static List<Pending> withoutDiffering(List<Pending> open, List<Row> differing) {
    Map<String, Row> rows =
        differing.stream().collect(Collectors.toMap(Row::key, Function.identity()));
    List<Pending> rest = new ArrayList<>();
    for (Pending pending : open) {
      Row row = rows.get(pending.key());
      if (row == null) {
        rest.add(pending);
      } else if (isOwn(pending, row)) {
        finish(pending, new ClaimWrite.Written(row.version()));
      } else {
        finish(pending, new ClaimWrite.Differs(row));
      }
    }
    return rest;
  }

  /** Returns whether an earlier attempt of the same write took effect. */
  private static boolean isOwn(Pending pending, Row row) {
    boolean deleted = pending.value() == null && row.version() == Row.ABSENT;
    return deleted || pending.value() != null && pending.value().equals(row.value());
  }

  private static void finish(Pending pending, ClaimWrite result) {
    pending.result().complete(result);
  }
}
