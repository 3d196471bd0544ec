package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StreamReadsTest {
  private static final int STREAMS = 4;
  private static final int EVENT_INTERVAL_MS = 30;
  private static final int END_MS = 3_000;

  /** A scheduler on a virtual clock. */
  private static final class VirtualScheduler extends AbstractLifeCycle implements Scheduler {
    private record Timer(long dueMs, Runnable task) {}

    private final PriorityQueue<Timer> timers =
        new PriorityQueue<>((one, other) -> Long.compare(one.dueMs(), other.dueMs()));
    private long nowMs;
    private int wakeUps;

    @Override
    public Task schedule(Runnable task, long delay, TimeUnit unit) {
      timers.add(new Timer(nowMs + unit.toMillis(delay), task));
      return () -> false;
    }

    private void advanceTo(long ms) {
      while (!timers.isEmpty() && timers.peek().dueMs() <= ms) {
        Timer due = timers.poll();
        nowMs = due.dueMs();
        wakeUps++;
        due.task().run();
      }
      nowMs = ms;
    }
  }

  private final VirtualScheduler scheduler = new VirtualScheduler();

  /** A stream whose events come at fixed intervals, and whose reads return all that came. */
  private final class Stream {
    private final StreamReads reads;
    private final long firstEventMs;
    private final List<Long> delaysMs = new ArrayList<>();
    private int read;

    private Stream(StreamReads reads, long firstEventMs) {
      this.reads = reads;
      this.firstEventMs = firstEventMs;
    }

    private void readAll() {
      for (long ms = eventMs(); ms <= scheduler.nowMs && ms < END_MS; ms = eventMs()) {
        delaysMs.add(scheduler.nowMs - ms);
        read++;
      }
      if (eventMs() < END_MS) {
        reads.add(this::readAll);
      }
    }

    private long eventMs() {
      return firstEventMs + (long) read * EVENT_INTERVAL_MS;
    }
  }

  private List<Stream> play(StreamReads reads) {
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Stream stream = new Stream(reads, 7 * i);
      streams.add(stream);
      scheduler.advanceTo(7 * i);
      stream.readAll();
    }
    scheduler.advanceTo(2 * END_MS);
    return streams;
  }

  @Nested
  class Together {
    private static final int INTERVAL_MS = 50;

    private final StreamReads reads = new StreamReads(scheduler, Duration.ofMillis(INTERVAL_MS));

    @Test
    void oneWakeUpReadsTheEventsOfAllStreams() {
      List<Stream> streams = play(reads);
      assertThat(streams).allMatch(stream -> stream.read >= END_MS / EVENT_INTERVAL_MS - 1);
      assertThat(scheduler.wakeUps).isLessThanOrEqualTo(END_MS / INTERVAL_MS + 1);
    }

    @Test
    void noEventWaitsLongerThanTheInterval() {
      assertThat(play(reads))
          .allSatisfy(stream -> assertThat(stream.delaysMs).allMatch(ms -> ms <= INTERVAL_MS));
    }
  }

  @Nested
  class AtOnce {
    @Test
    void nothingIsScheduled() {
      List<String> made = new ArrayList<>();
      new StreamReads(scheduler, Duration.ZERO).add(() -> made.add("read"));
      assertThat(made).hasSize(1);
      assertThat(scheduler.timers).isEmpty();
    }
  }
}
