package org.magnoliavale.internal.idempotency;

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
import org.magnoliavale.internal.platform.TableResult;
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
public final class ClaimWriter implements Service {
  private static final int MAXIMUM_BATCH_SIZE = 128;
  private static final int MAXIMUM_ATTEMPTS = 4;

  /** Maximum concurrent commits; at the limit, further writes wait for the next batch. */
  private static final int MAXIMUM_CONCURRENT_COMMITS = 4;

  private static final long QUEUE_POLL_MS = 100;

  private record PendingWrite(
      String key, long version, String value, CompletableFuture<ClaimWriteResult> result) {}

  private final Table table;
  private final BlockingQueue<PendingWrite> queue = new LinkedBlockingQueue<>();
  private final Semaphore commitPermits = new Semaphore(MAXIMUM_CONCURRENT_COMMITS);
  private volatile boolean stopped;

  private ClaimWriter(Table table) {
    this.table = table;
  }

  /** Returns a writer that is not started yet. */
  public static ClaimWriter of(Table table) {
    return new ClaimWriter(table);
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
  public ClaimWriteResult write(String key, long version, String value) {
    PendingWrite pending = new PendingWrite(key, version, value, new CompletableFuture<>());
    queue.add(pending);
    return pending.result().join();
  }

  private void loop() {
    try {
      while (!stopped || !queue.isEmpty()) {
        commitPermits.acquire();
        PendingWrite first = queue.poll(QUEUE_POLL_MS, TimeUnit.MILLISECONDS);
        if (first == null) {
          commitPermits.release();
        } else {
          List<PendingWrite> batch = batchFrom(first);
          Thread.startVirtualThread(() -> commitAndRelease(batch));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<PendingWrite> batchFrom(PendingWrite first) {
    List<PendingWrite> batch = new ArrayList<>();
    batch.add(first);
    queue.drainTo(batch, MAXIMUM_BATCH_SIZE - 1);
    return batch;
  }

  private void commitAndRelease(List<PendingWrite> batch) {
    try {
      commit(batch);
    } finally {
      commitPermits.release();
    }
  }

  private void commit(List<PendingWrite> batch) {
    List<PendingWrite> remaining = deferDuplicateKeys(batch);
    boolean mayHaveTakenEffect = false;
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && !remaining.isEmpty(); attempt++) {
      switch (table.commit(transaction(remaining))) {
        case TableResult.Success done -> {
          remaining.forEach(
              pending ->
                  complete(pending, new ClaimWriteResult.Written(done.version(pending.key()))));
          return;
        }
        case TableResult.ConditionFailed(List<Row> differing) ->
            remaining = removeDiffering(remaining, differing);
        case TableResult.OutcomeUnknown ignored -> mayHaveTakenEffect = true;
        case TableResult.Unavailable(String reason) -> {
          if (!mayHaveTakenEffect) {
            remaining.forEach(
                pending -> complete(pending, new ClaimWriteResult.NotWritten(reason)));
            return;
          }
        }
      }
    }
    boolean unresolved = mayHaveTakenEffect;
    remaining.forEach(
        pending ->
            complete(
                pending,
                unresolved
                    ? new ClaimWriteResult.Unresolved("the commit response was lost")
                    : new ClaimWriteResult.NotWritten(
                        "the conditions of the commit failed repeatedly")));
  }

  /** Defers further writes of the same row to a later transaction. */
  private List<PendingWrite> deferDuplicateKeys(List<PendingWrite> batch) {
    List<PendingWrite> distinct = new ArrayList<>();
    for (PendingWrite pending : batch) {
      boolean repeated = distinct.stream().anyMatch(other -> other.key().equals(pending.key()));
      if (repeated) {
        queue.add(pending);
      } else {
        distinct.add(pending);
      }
    }
    return distinct;
  }

  private static Transaction transaction(List<PendingWrite> remaining) {
    Transaction.Builder transaction = Transaction.builder();
    for (PendingWrite pending : remaining) {
      transaction.require(pending.key(), pending.version());
      transaction.write(pending.key(), pending.value());
    }
    return transaction.build();
  }

  private static List<PendingWrite> removeDiffering(
      List<PendingWrite> remaining, List<Row> differing) {
    Map<String, Row> rows =
        differing.stream().collect(Collectors.toMap(Row::key, Function.identity()));
    List<PendingWrite> rest = new ArrayList<>();
    for (PendingWrite pending : remaining) {
      Row row = rows.get(pending.key());
      if (row == null) {
        rest.add(pending);
      } else if (isAlreadyApplied(pending, row)) {
        complete(pending, new ClaimWriteResult.Written(row.version()));
      } else {
        complete(pending, new ClaimWriteResult.Differs(row));
      }
    }
    return rest;
  }

  /** Returns whether an earlier attempt of the same write took effect. */
  private static boolean isAlreadyApplied(PendingWrite pending, Row row) {
    boolean deleted = pending.value() == null && row.version() == Row.ABSENT;
    return deleted || pending.value() != null && pending.value().equals(row.value());
  }

  private static void complete(PendingWrite pending, ClaimWriteResult result) {
    pending.result().complete(result);
  }
}
