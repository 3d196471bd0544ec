package org.magnoliavale.internal.logging;

import java.io.OutputStream;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import org.jboss.logging.Logger;

/** Creates loggers and configures log output. */
public final class Logs {
  static final String PREFIX = "magnoliavale.";

  private static final Map<String, Level> LEVELS =
      Map.of(
          "error", Level.SEVERE,
          "warn", Level.WARNING,
          "info", Level.INFO,
          "debug", Level.FINE);

  private Logs() {}

  /** Returns the logger of a part of the program; its messages are prefixed with {@code part:}. */
  public static Logger of(String part) {
    return Logger.getLogger(PREFIX + part);
  }

  /**
   * Configures the log to write to standard error.
   *
   * @param level {@code error}, {@code warn}, {@code info} or {@code debug}
   */
  public static void install(String level) {
    install(level, System.err);
  }

  /**
   * Configures the log to write to {@code output}. Replaces all handlers of the root logger.
   *
   * @param level {@code error}, {@code warn}, {@code info} or {@code debug}; applies to the
   *     program's loggers, while libraries log at warn
   * @param output receives the formatted records as UTF-8
   */
  public static void install(String level, OutputStream output) {
    java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    AsynchronousHandler handler = new AsynchronousHandler(output);
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
    root.setLevel(Level.WARNING);
    setLevel(level);
  }

  /**
   * Changes the least severe level that the program's loggers write.
   *
   * @param level {@code error}, {@code warn}, {@code info} or {@code debug}
   */
  public static void setLevel(String level) {
    PROGRAM_LOGGER.setLevel(LEVELS.get(level));
  }

  /** Writes the queued records and closes the log; waits at most 2 s for each handler. */
  public static void close() {
    java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      handler.close();
    }
  }

  // A strong reference: the log manager references loggers weakly, and a collected logger loses its
  // level.
  private static final java.util.logging.Logger PROGRAM_LOGGER =
      java.util.logging.Logger.getLogger("magnoliavale");
}
