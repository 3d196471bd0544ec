package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a text file, one event a line. Thread-safe. */
public final class Recorder implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  /** Opens the file, which is replaced. */
  public Recorder(Path file) {
    try {
      writer = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the time since the start in milliseconds. */
  public long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes one event with its time. */
  public synchronized void log(String format, Object... arguments) {
    writer.printf("%7d  %s%n", nowMs(), String.format(format, arguments));
    writer.flush();
  }

  /** Writes one event and prints it. */
  public void say(String format, Object... arguments) {
    log(format, arguments);
    System.out.println(String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
