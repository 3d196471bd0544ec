package org.magnoliavale.internal.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a record as {@code TIME LEVEL part: message}, followed by its stack trace if any. */
final class LineFormatter extends Formatter {
  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder(160);
    line.append(record.getInstant()).append(' ');
    line.append(record.getLevel().getName()).append(' ');
    line.append(partName(record.getLoggerName())).append(": ");
    line.append(formatMessage(record)).append('\n');
    if (record.getThrown() != null) {
      StringWriter trace = new StringWriter();
      record.getThrown().printStackTrace(new PrintWriter(trace, true));
      line.append(trace);
    }
    return line.toString();
  }

  private static String partName(String loggerName) {
    if (loggerName == null) {
      return "library";
    }
    return loggerName.startsWith(Logs.PREFIX)
        ? loggerName.substring(Logs.PREFIX.length())
        : "library " + loggerName;
  }
}
