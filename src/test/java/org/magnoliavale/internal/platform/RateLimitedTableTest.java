package org.magnoliavale.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.standin.InMemoryTable;

class RateLimitedTableTest {
  private static final long SECOND = 1_000_000_000L;

  private final AtomicLong now = new AtomicLong();
  private final AtomicInteger instances = new AtomicInteger(2);
  private final Table table =
      new RateLimitedTable(new InMemoryTable(), 100, 100, instances::get, now::get);

  private int countSuccessfulCalls() {
    int successful = 0;
    while (table.read(List.of("key")) instanceof TableResult.Success) {
      successful++;
    }
    return successful;
  }

  @Test
  void allowsShareOfFleetRate() {
    countSuccessfulCalls();
    now.addAndGet(SECOND);
    assertThat(countSuccessfulCalls()).isEqualTo(50);
  }

  @Test
  void shareDecreasesWithFleetSize() {
    countSuccessfulCalls();
    instances.set(4);
    now.addAndGet(SECOND);
    assertThat(countSuccessfulCalls()).isEqualTo(25);
  }

  @Test
  void callOverLimitIsUnavailable() {
    Transaction transaction = Transaction.builder().write("key", "value").build();
    while (table.commit(transaction) instanceof TableResult.Success done) {
      assertThat(done.rows()).hasSize(1);
    }
    assertThat(table.commit(transaction)).isInstanceOf(TableResult.Unavailable.class);
  }
}
