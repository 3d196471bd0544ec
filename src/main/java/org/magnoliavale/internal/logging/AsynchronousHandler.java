package org.magnoliavale.internal.logging;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log records on a background thread, so that callers never block on log output.
 *
 * <p>The queue is bounded. Records that do not fit are dropped and counted; the count is written
 * before the next record.
 */
final class AsynchronousHandler extends Handler {
  private static final int QUEUE_CAPACITY = 65_536;
  private static final int BUFFER_BYTES = 65_536;
  private static final long CLOSE_TIMEOUT_MS = 2_000;
  private static final long CLOSE_CHECK_INTERVAL_MS = 1_000;

  /** Wakes the writer; it is not written. */
  private static final LogRecord WAKE = new LogRecord(Level.OFF, "");

  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final LongAdder dropped = new LongAdder();
  private final OutputStream output;
  private final Thread writer;
  private volatile boolean closed;

  AsynchronousHandler(OutputStream output) {
    this.output = new BufferedOutputStream(output, BUFFER_BYTES);
    setFormatter(new LineFormatter());
    writer = Thread.ofPlatform().daemon().name("log-writer").start(this::writeLoop);
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (!queue.offer(record)) {
      dropped.increment();
    }
  }

  @Override
  public void flush() {
    // The writer thread flushes whenever the queue is empty.
  }

  @Override
  public void close() {
    closed = true;
    queue.offer(WAKE);
    try {
      writer.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeLoop() {
    try {
      while (!closed || !queue.isEmpty()) {
        LogRecord record = queue.poll(CLOSE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (record != null && record != WAKE) {
          write(record);
        }
        if (queue.isEmpty()) {
          output.flush();
        }
      }
      output.flush();
    } catch (InterruptedException | IOException e) {
      // A failure of the log output cannot be reported anywhere, so the writer thread stops.
      closed = true;
    }
  }

  private void write(LogRecord record) throws IOException {
    long droppedCount = dropped.sumThenReset();
    if (droppedCount > 0) {
      output.write(("log: dropped lines=" + droppedCount + "\n").getBytes(StandardCharsets.UTF_8));
    }
    output.write(getFormatter().format(record).getBytes(StandardCharsets.UTF_8));
  }
}
