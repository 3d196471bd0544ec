package org.magnoliavale.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.standin.InMemoryTable;

class BudgetedTableTest {
  private static final long SECOND = 1_000_000_000L;

  private final AtomicLong now = new AtomicLong();
  private final AtomicInteger instances = new AtomicInteger(2);
  private final Table table =
      new BudgetedTable(new InMemoryTable(), 100, 100, instances::get, now::get);

  private int callsLetThrough() {
    int through = 0;
    while (table.read(List.of("key")) instanceof TableAnswer.Done) {
      through++;
    }
    return through;
  }

  @Test
  void letsAnInstanceMakeItsShareOfTheFleetsCalls() {
    callsLetThrough();
    now.addAndGet(SECOND);
    assertThat(callsLetThrough()).isEqualTo(50);
  }

  @Test
  void shareShrinksAsTheFleetGrows() {
    callsLetThrough();
    instances.set(4);
    now.addAndGet(SECOND);
    assertThat(callsLetThrough()).isEqualTo(25);
  }

  @Test
  void callBeyondTheShareHasNoEffect() {
    Transaction transaction = Transaction.builder().write("key", "value").build();
    while (table.commit(transaction) instanceof TableAnswer.Done done) {
      assertThat(done.rows()).hasSize(1);
    }
    assertThat(table.commit(transaction)).isInstanceOf(TableAnswer.Unavailable.class);
  }
}
