package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.concurrent.CountDownLatch;

/** A table that injects a given fault into a range of its commits. */
public final class FaultyTable implements Table {
  /** The fault to inject; {@code EFFECT} is the application of the transaction. */
  public enum Fault {
    NONE,
    UNAVAILABLE,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT,
    KILLED_BEFORE_EFFECT,
    KILLED_AFTER_EFFECT
  }

  private final Table table;
  private final Fault fault;
  private final int firstFaulty;
  private final int lastFaulty;
  private int commits;

  /** Returns a table with faulty commits from {@code first} to {@code last}, counted from 1. */
  public FaultyTable(Table table, Fault fault, int first, int last) {
    this.table = table;
    this.fault = fault;
    this.firstFaulty = first;
    this.lastFaulty = last;
  }

  @Override
  public TableResult commit(Transaction transaction) {
    return switch (nextFault()) {
      case NONE -> table.commit(transaction);
      case UNAVAILABLE -> new TableResult.Unavailable("down");
      case LOST_BEFORE_EFFECT -> new TableResult.OutcomeUnknown("lost");
      case LOST_AFTER_EFFECT -> {
        table.commit(transaction);
        yield new TableResult.OutcomeUnknown("lost");
      }
      case KILLED_BEFORE_EFFECT -> simulateKill();
      case KILLED_AFTER_EFFECT -> {
        table.commit(transaction);
        yield simulateKill();
      }
    };
  }

  private synchronized Fault nextFault() {
    commits++;
    return commits >= firstFaulty && commits <= lastFaulty ? fault : Fault.NONE;
  }

  @Override
  public TableResult read(List<String> keys) {
    return table.read(keys);
  }

  @Override
  public TableResult scan(String prefix) {
    return table.scan(prefix);
  }

  /** Simulates that the process was killed: blocks until the thread is interrupted. */
  public static <T> T simulateKill() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    throw new IllegalStateException("killed");
  }
}
