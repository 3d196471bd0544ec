package org.magnoliavale.internal.logging;

import java.io.OutputStream;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import org.jboss.logging.Logger;

/** Loggers of the program's parts and the set-up of the log. */
public final class Logs {
  static final String PREFIX = "magnoliavale.";

  private static final Map<String, Level> LEVELS =
      Map.of(
          "error", Level.SEVERE,
          "warn", Level.WARNING,
          "info", Level.INFO,
          "debug", Level.FINE);

  private Logs() {}

  /** Returns the logger of a part; each of its lines starts with {@code part:}. */
  public static Logger of(String part) {
    return Logger.getLogger(PREFIX + part);
  }

  /** Sends the log to standard error. {@code level} is a word of the settings. */
  public static void install(String level) {
    install(level, System.err);
  }

  /** Sends the log to {@code output}. {@code level} is a word of the settings. */
  public static void install(String level, OutputStream output) {
    java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    AsynchronousHandler handler = new AsynchronousHandler(output);
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
    root.setLevel(Level.WARNING);
    PARTS.setLevel(LEVELS.get(level));
  }

  /** Writes what is queued and ends the log. */
  public static void close() {
    java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      handler.close();
    }
  }

  // Kept in a field because the log manager holds loggers weakly and would lose the level.
  private static final java.util.logging.Logger PARTS =
      java.util.logging.Logger.getLogger("magnoliavale");
}
