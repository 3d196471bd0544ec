package org.magnoliavale.internal.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.logging.Logs;

/** Guards against a log that one exception fills, and against one that goes unseen. */
class UnexpectedFailuresTest {
  private static final Logger LOGGER = Logger.getLogger("magnoliavale.failures-test");

  private final List<String> logged = new ArrayList<>();
  private final Counter counter = new Counter();
  private long now = TimeUnit.SECONDS.toNanos(100);
  private final UnexpectedFailures failures =
      new UnexpectedFailures(counter, Logs.of("failures-test"), () -> now);

  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord entry) {
          logged.add(entry.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void listen() {
    LOGGER.addHandler(handler);
  }

  @AfterEach
  void stopListening() {
    LOGGER.removeHandler(handler);
  }

  @Test
  void countsAllAndLogsOneASecond() {
    for (int i = 0; i < 20; i++) {
      failures.contain(
          "Step failed.",
          () -> {
            throw new IllegalStateException("expected by the test");
          });
      now += TimeUnit.MILLISECONDS.toNanos(100);
    }
    assertThat(counter.getCount()).isEqualTo(20);
    assertThat(logged)
        .containsExactly("Step failed. not-logged-before=0", "Step failed. not-logged-before=9");
  }
}
