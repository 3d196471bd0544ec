package org.magnoliavale.soak;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Counts what a caller has received of a body, which tells a whole stream from a shorter one. */
final class ReceivedBody {
  private static final Pattern EVENTS = Pattern.compile("events=(\\d+)");
  private static final int LINES_PER_EVENT = 3;

  private long bytes;
  private long lines;

  void add(byte[] piece) {
    bytes += piece.length;
    for (byte next : piece) {
      if (next == '\n') {
        lines++;
      }
    }
  }

  long bytes() {
    return bytes;
  }

  /** Returns whether all events that a request has asked for were received. */
  boolean isWhole(String target) {
    Matcher matcher = EVENTS.matcher(target);
    return !matcher.find() || lines == Long.parseLong(matcher.group(1)) * LINES_PER_EVENT;
  }
}
